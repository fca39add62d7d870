package org.gradeledge.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.Objects;
import org.gradeledge.document.JsonMappers;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** What the stand-ins' HTTP handlers share. */
public abstract class StandInHttp {

  private StandInHttp() {}

  /** Returns the body of a request, empty where there is none. */
  public static Mono<byte[]> readBody(HttpServerRequest request) {
    return request.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]);
  }

  /** Returns the body of a request as JSON. */
  public static Mono<JsonNode> readJson(HttpServerRequest request) {
    return readBody(request).map(StandInHttp::parseJson);
  }

  /** Sends a value as JSON. */
  public static Mono<Void> sendJson(HttpServerResponse response, int status, Object value) {
    byte[] bytes = value instanceof byte[] raw ? raw : toJson(value);
    return response
        .status(status)
        .header("Content-Type", "application/json")
        .header("Content-Length", String.valueOf(bytes.length))
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
        .then();
  }

  /** Cuts the connection. */
  public static Mono<Void> closeConnection(HttpServerResponse response) {
    return Mono.fromRunnable(() -> response.withConnection(c -> c.channel().close()));
  }

  /** Returns a path parameter. */
  public static String pathParameter(HttpServerRequest request, String name) {
    return Objects.requireNonNull(request.param(name));
  }

  /** Returns a value as JSON text. */
  public static byte[] toJson(Object value) {
    try {
      return JsonMappers.json().writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value must be writable as JSON", e);
    }
  }

  /** Returns JSON text as a tree. */
  public static JsonNode parseJson(byte[] bytes) {
    try {
      return JsonMappers.json().readTree(bytes);
    } catch (IOException e) {
      throw new IllegalArgumentException("body must be JSON", e);
    }
  }
}
