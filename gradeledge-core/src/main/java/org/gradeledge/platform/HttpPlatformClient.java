package org.gradeledge.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import org.gradeledge.document.JsonMappers;
import org.gradeledge.metrics.BoxMetrics;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Sends one JSON call to the platform and turns every kind of failure into one exception. */
final class HttpPlatformClient {

  private final HttpClient client;
  private final URI base;
  private final Duration timeout;
  private final BoxMetrics metrics;

  HttpPlatformClient(HttpClient client, URI base, Duration limit, BoxMetrics metrics) {
    this.client = client;
    this.base = base;
    this.timeout = limit;
    this.metrics = metrics;
  }

  /**
   * Sends a call whose answer has one of the given statuses; any other is a failure.
   *
   * @param name name of the call in the metrics
   */
  Mono<HttpPlatformAnswer> call(
      String name,
      HttpMethod method,
      String path,
      byte @Nullable [] body,
      int... expectedStatuses) {
    return client
        .headers(headers -> headers.set("Content-Type", "application/json"))
        .request(method)
        .uri(base.resolve(path).toString())
        .send(body == null ? Mono.empty() : Mono.just(Unpooled.wrappedBuffer(body)))
        .responseSingle(
            (response, content) ->
                content
                    .asByteArray()
                    .defaultIfEmpty(new byte[0])
                    .map(bytes -> new HttpPlatformAnswer(response.status().code(), bytes)))
        .timeout(timeout)
        .onErrorMap(e -> new PlatformException(method + " " + path + " got no answer", e))
        .flatMap(answer -> checkStatus(method, path, answer, expectedStatuses))
        .doOnSuccess(answer -> metrics.platformCall(name, true))
        .doOnError(e -> metrics.platformCall(name, false));
  }

  static byte[] encode(Object value) {
    try {
      return JsonMappers.json().writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value must be writable as JSON", e);
    }
  }

  static <T> T decode(byte[] text, TypeReference<T> type) {
    try {
      return JsonMappers.json().readValue(text, type);
    } catch (IOException e) {
      throw new PlatformException("the platform's answer must be valid JSON", e);
    }
  }

  private static Mono<HttpPlatformAnswer> checkStatus(
      HttpMethod method, String path, HttpPlatformAnswer answer, int... expected) {
    boolean known = Arrays.stream(expected).anyMatch(status -> status == answer.status());
    return known
        ? Mono.just(answer)
        : Mono.error(
            new PlatformException(method + " " + path + " got status " + answer.status(), null));
  }
}
