package org.gradeledge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/** What a box answered. */
record Reply(int status, HttpHeaders headers, byte[] body) {

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  JsonNode json() {
    return StandInHttp.parse(body);
  }

  String verdict() {
    return json().path("verdict").asText();
  }

  String reason() {
    return json().path("reason").asText();
  }
}
