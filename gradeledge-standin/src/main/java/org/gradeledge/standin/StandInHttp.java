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

/** Helper methods for the HTTP handlers of the stand-ins. */
public abstract class StandInHttp {

  private StandInHttp() {}

  /** Reads the body of a request; an absent body gives an empty array. */
  public static Mono<byte[]> readBody(HttpServerRequest request) {
    return request.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]);
  }

  /** Reads the body of a request as JSON. */
  public static Mono<JsonNode> readJson(HttpServerRequest request) {
    return readBody(request).map(StandInHttp::parseJson);
  }

  /** Sends a response with a value as JSON; a byte array is sent as it is. */
  public static Mono<Void> sendJson(HttpServerResponse response, int status, Object value) {
    byte[] bytes = value instanceof byte[] raw ? raw : toJson(value);
    return response
        .status(status)
        .header("Content-Type", "application/json")
        .header("Content-Length", String.valueOf(bytes.length))
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
        .then();
  }

  /** Closes the connection without a response. */
  public static Mono<Void> closeConnection(HttpServerResponse response) {
    return Mono.fromRunnable(
        () -> response.withConnection(connection -> connection.channel().close()));
  }

  /** Returns the value of a path parameter. */
  public static String pathParameter(HttpServerRequest request, String name) {
    return Objects.requireNonNull(request.param(name));
  }

  /** Serializes a value as JSON. */
  public static byte[] toJson(Object value) {
    try {
      return JsonMappers.json().writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot serialize value as JSON", e);
    }
  }

  /** Parses JSON text. */
  public static JsonNode parseJson(byte[] bytes) {
    try {
      return JsonMappers.json().readTree(bytes);
    } catch (IOException e) {
      throw new IllegalArgumentException("body is not valid JSON", e);
    }
  }
}
