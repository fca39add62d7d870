package org.gradeledge.standin;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Calls to the operators' port of one box. */
record OperatorCalls(int port) {

  private static final Duration LIMIT = Duration.ofSeconds(30);

  Reply get(String path) {
    return call(HttpMethod.GET, path, Map.of(), new byte[0]).block(LIMIT);
  }

  Mono<Reply> submit(byte[] file, long base, UUID id) {
    String condition = base == 0 ? "If-None-Match" : "If-Match";
    String value = base == 0 ? "*" : "\"" + base + "\"";
    String name = StandInHttp.parseJson(file).path("pipeline").asText();
    return call(
        HttpMethod.PUT,
        "/v1/pipelines/" + name,
        Map.of(condition, value, "Gradeledge-Submission-Id", id.toString()),
        file);
  }

  private Mono<Reply> call(
      HttpMethod method, String path, Map<String, String> headers, byte[] body) {
    return HttpClient.newConnection()
        .disableRetry(true)
        .headers(
            sent -> {
              sent.set("Authorization", "Bearer " + TestSettings.OPERATOR_TOKEN);
              headers.forEach(sent::set);
            })
        .request(method)
        .uri("http://127.0.0.1:" + port + path)
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .responseSingle(Reply::read);
  }
}
