package org.gradeledge.standin;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.gradeledge.standin.engine.EngineStandIn;
import org.gradeledge.standin.engine.EngineTiming;
import org.gradeledge.standin.engine.RunLog;
import org.gradeledge.standin.platform.PlatformStandIn;
import reactor.core.publisher.Mono;

/** Boxes as processes of their own, over a platform and engines in this one. */
final class ProcessDeployment implements AutoCloseable {

  private static final Duration LIMIT = Duration.ofSeconds(60);

  final PlatformStandIn platform = new PlatformStandIn(0, 0);
  final RunLog runs = new RunLog(true);
  private final Path directory;
  private final List<BoxProcess> boxes = new ArrayList<>();
  private final List<EngineStandIn> engines = new ArrayList<>();

  ProcessDeployment(int boxCount) {
    try {
      this.directory = Files.createTempDirectory("boxes");
      Files.writeString(directory.resolve("secret"), "a secret that all boxes share");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    for (int i = 0; i < boxCount; i++) {
      startBox("box-" + (i + 1));
    }
    for (int i = 0; i < boxCount; i++) {
      int each = i;
      Deployment.await(() -> isReady(each));
    }
  }

  BoxProcess startBox(String id) {
    Path file = directory.resolve(id + ".json");
    try {
      Files.write(file, TestSettings.text(id, platform.port(), directory.resolve("secret")));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    BoxProcess box = BoxProcess.start(file);
    boxes.add(box);
    return box;
  }

  BoxProcess box(int index) {
    return boxes.get(index);
  }

  EngineStandIn engine(EngineTiming model) {
    EngineStandIn engine = new EngineStandIn(0, model, runs);
    engines.add(engine);
    return engine;
  }

  CallerCall call(int box) {
    return new CallerCall(boxes.get(box).callerPort());
  }

  OperatorCalls operators(int box) {
    return new OperatorCalls(boxes.get(box).operatorPort());
  }

  /** Submits; the status is -1 where the box did not answer. */
  Mono<Reply> submit(int box, byte[] file, long base, UUID id) {
    return operators(box)
        .submit(file, base, id)
        .timeout(LIMIT)
        .onErrorReturn(new Reply(-1, new DefaultHttpHeaders(), new byte[0]));
  }

  boolean isReady(int box) {
    return call(box)
        .pipeline("no-such")
        .send()
        .map(reply -> reply.reason().equals("pipeline-unknown"))
        .onErrorReturn(false)
        .block(LIMIT);
  }

  @Override
  public void close() {
    boxes.forEach(BoxProcess::close);
    engines.forEach(EngineStandIn::close);
    platform.close();
  }
}
