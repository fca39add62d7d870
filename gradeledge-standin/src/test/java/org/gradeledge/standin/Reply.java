package org.gradeledge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClientResponse;

/** What a box answered. */
record Reply(int status, HttpHeaders headers, byte[] body) {

  /** Reads a whole answer. */
  static Mono<Reply> read(HttpClientResponse response, ByteBufMono content) {
    return content
        .asByteArray()
        .defaultIfEmpty(new byte[0])
        .map(bytes -> new Reply(response.status().code(), response.responseHeaders(), bytes));
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  JsonNode json() {
    return StandInHttp.parseJson(body);
  }

  String verdict() {
    return json().path("verdict").asText();
  }

  String reason() {
    return json().path("reason").asText();
  }
}
