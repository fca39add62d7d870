package org.gradeledge.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.node.BoxPorts;
import org.gradeledge.node.GradeledgeBox;
import org.gradeledge.settings.BoxSettings;
import org.gradeledge.settings.SettingsReader;
import org.gradeledge.standin.engine.EngineModel;
import org.gradeledge.standin.engine.EngineStandIn;
import org.gradeledge.standin.engine.RunLog;
import org.gradeledge.standin.platform.PlatformStandIn;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** A platform, engines and boxes in this process, on free ports; closed after each test. */
final class Deployment implements AutoCloseable {

  static final String OPERATOR_TOKEN = "token of the operator";
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
    return engine(EngineModel.fast());
  }

  EngineStandIn engine(EngineModel model) {
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
    String condition = base == 0 ? "If-None-Match" : "If-Match";
    String value = base == 0 ? "*" : "\"" + base + "\"";
    String name = StandInHttp.parse(file).path("pipeline").asText();
    return operator(
        box,
        HttpMethod.PUT,
        "/v1/pipelines/" + name,
        Map.of(condition, value, "Gradeledge-Submission-Id", id.toString()),
        file);
  }

  Reply operatorGet(int box, String path) {
    return operator(box, HttpMethod.GET, path, Map.of(), new byte[0]).block(EVENT_LIMIT);
  }

  Mono<Reply> operator(
      int box, HttpMethod method, String path, Map<String, String> headers, byte[] body) {
    return HttpClient.newConnection()
        .headers(
            sent -> {
              sent.set("Authorization", "Bearer " + OPERATOR_TOKEN);
              headers.forEach(sent::set);
            })
        .request(method)
        .uri("http://127.0.0.1:" + ports.get(box).operatorPort() + path)
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .responseSingle(
            (response, content) ->
                content
                    .asByteArray()
                    .defaultIfEmpty(new byte[0])
                    .map(
                        bytes ->
                            new Reply(
                                response.status().code(), response.responseHeaders(), bytes)));
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
    ObjectNode settings = JsonNodeFactory.instance.objectNode();
    settings.put("boxId", id).put("availabilityZone", "sofia-1");
    settings.set("caller", listen());
    settings.set("operator", listen());
    settings.putObject("peer").put("secretFile", secret.toString()).set("listen", listen());
    String address = "http://127.0.0.1:" + platform.port();
    settings
        .putObject("platform")
        .put("table", address)
        .put("objects", address)
        .put("boxes", address);
    settings
        .putArray("operators")
        .addObject()
        .put("name", "petya")
        .put("tokenSha256", TextDigest.sha256(OPERATOR_TOKEN));
    settings
        .putObject("timing")
        .put("membershipBoundMs", 2_000)
        .put("prepareBoundMs", 1_000)
        .put("doubtBoundMs", 1_000)
        .put("heartbeatMs", 100)
        .put("pollMs", 150)
        .put("platformCallMs", 500)
        .put("balancerLagMs", 100);
    settings.putObject("limits").put("maxBodyBytes", 4_096).put("maxHeaderBytes", 2_048);
    return new SettingsReader()
        .read(StandInHttp.write(settings))
        .getOrElseThrow(faults -> new AssertionError(faults));
  }

  private static ObjectNode listen() {
    return JsonNodeFactory.instance.objectNode().put("host", "127.0.0.1").put("port", 0);
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
