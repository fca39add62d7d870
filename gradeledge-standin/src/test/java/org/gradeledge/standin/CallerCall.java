package org.gradeledge.standin;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** One request as a caller makes it, changed step by step from a good one. */
final class CallerCall {

  private static final Duration LIMIT = Duration.ofSeconds(30);

  private final int port;
  private final Map<String, String> headers = new HashMap<>();
  private String pipeline = PipelineFiles.NAME;
  private byte[] body = "{\"text\":\"Търся място до Шумен\"}".getBytes(StandardCharsets.UTF_8);

  CallerCall(int port) {
    this.port = port;
    headers.put("Authorization", "Bearer " + PipelineFiles.token("riders"));
    headers.put("Content-Type", "application/json");
  }

  CallerCall header(String name, String value) {
    headers.put(name, value);
    return this;
  }

  CallerCall key(String idempotencyKey) {
    return header("Idempotency-Key", idempotencyKey);
  }

  CallerCall deadline(long millis) {
    return header("Gradeledge-Deadline-Ms", String.valueOf(millis));
  }

  CallerCall pipeline(String value) {
    this.pipeline = value;
    return this;
  }

  CallerCall body(String value) {
    this.body = value.getBytes(StandardCharsets.UTF_8);
    return this;
  }

  CallerCall text(String value) {
    this.body = StandInHttp.toJson(Map.of("text", value));
    return this;
  }

  Mono<Reply> send() {
    return send(HttpClient.newConnection());
  }

  /** Sends over connections that are kept, for many requests. */
  Mono<Reply> sendKept() {
    return send(HttpClient.create());
  }

  private Mono<Reply> send(HttpClient client) {
    return client
        .disableRetry(true)
        .headers(sent -> headers.forEach(sent::set))
        .post()
        .uri("http://127.0.0.1:" + port + "/v1/pipelines/" + pipeline + "/requests")
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .responseSingle(Reply::read)
        .timeout(LIMIT);
  }

  Reply now() {
    return send().block();
  }
}
