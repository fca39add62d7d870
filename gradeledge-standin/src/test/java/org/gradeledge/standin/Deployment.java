package org.gradeledge.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.gradeledge.node.BoxPorts;
import org.gradeledge.node.GradeledgeBox;
import org.gradeledge.settings.BoxSettings;
import org.gradeledge.settings.SettingsReader;
import org.gradeledge.standin.engine.EngineStandIn;
import org.gradeledge.standin.engine.EngineTiming;
import org.gradeledge.standin.engine.RunLog;
import org.gradeledge.standin.platform.PlatformStandIn;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** A platform, engines and boxes in this process, on free ports; closed after each test. */
final class Deployment implements AutoCloseable {

  static final String OPERATOR_TOKEN = TestSettings.OPERATOR_TOKEN;
  private static final Duration EVENT_LIMIT = Duration.ofSeconds(30);
  private static final Duration LOOK_AGAIN = Duration.ofMillis(20);

  final PlatformStandIn platform = new PlatformStandIn(0, 0);
  final RunLog runs = new RunLog(true);
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final List<GradeledgeBox> boxes = new ArrayList<>();
  private final List<BoxPorts> ports = new ArrayList<>();
  private final Path secret;

  Deployment(int boxCount) {
    try {
      this.secret = Files.createTempFile("peer", "secret");
      Files.writeString(secret, "a secret that all boxes share");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    for (int i = 0; i < boxCount; i++) {
      startBox();
    }
    await(() -> boxes.stream().allMatch(GradeledgeBox::isReady));
  }

  GradeledgeBox startBox() {
    GradeledgeBox box = new GradeledgeBox(settings("box-" + (boxes.size() + 1)));
    boxes.add(box);
    ports.add(box.start().block(EVENT_LIMIT));
    return box;
  }

  EngineStandIn engine() {
    return engine(EngineTiming.fast());
  }

  EngineStandIn engine(EngineTiming model) {
    EngineStandIn engine = new EngineStandIn(0, model, runs);
    engines.add(engine);
    return engine;
  }

  GradeledgeBox box(int index) {
    return boxes.get(index);
  }

  CallerCall call(int box) {
    return new CallerCall(ports.get(box).callerPort());
  }

  /** Applies a file that must be accepted. */
  Reply apply(byte[] file, long base) {
    Reply reply = submit(0, file, base, UUID.randomUUID()).block(EVENT_LIMIT);
    if (reply.status() != 200) {
      throw new AssertionError(reply.text());
    }
    return reply;
  }

  Mono<Reply> submit(int box, byte[] file, long base, UUID id) {
    return operators(box).submit(file, base, id);
  }

  Reply operatorGet(int box, String path) {
    return operators(box).get(path);
  }

  private OperatorCalls operators(int box) {
    return new OperatorCalls(ports.get(box).operatorPort());
  }

  int callerPort(int box) {
    return ports.get(box).callerPort();
  }

  String metrics(int box) {
    return operatorGet(box, "/metrics").text();
  }

  /** Waits until a condition holds, looking again and again; fails if it never does. */
  static void await(BooleanSupplier condition) {
    Mono.defer(() -> condition.getAsBoolean() ? Mono.just(true) : Mono.<Boolean>empty())
        .repeatWhenEmpty(looks -> looks.delayElements(LOOK_AGAIN, Schedulers.boundedElastic()))
        .block(EVENT_LIMIT);
  }

  private BoxSettings settings(String id) {
    return new SettingsReader()
        .read(TestSettings.text(id, platform.port(), secret))
        .getOrElseThrow(faults -> new AssertionError(faults));
  }

  @Override
  public void close() {
    boxes.forEach(GradeledgeBox::close);
    engines.forEach(EngineStandIn::close);
    platform.close();
    try {
      Files.deleteIfExists(secret);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
