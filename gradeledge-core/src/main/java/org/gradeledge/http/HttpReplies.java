package org.gradeledge.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.Unpooled;
import org.gradeledge.document.JsonMappers;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Whole replies over HTTP.
 *
 * @since 0.1
 */
public abstract class HttpReplies {

  /** Media type of JSON replies. */
  public static final String JSON = "application/json";

  /** Media type of refusals (RFC 9457). */
  public static final String PROBLEM = "application/problem+json";

  private HttpReplies() {}

  /** Sends bytes of a media type. */
  public static Mono<Void> send(
      HttpServerResponse response, int status, String mediaType, byte[] body) {
    return response
        .status(status)
        .header("Content-Type", mediaType)
        .header("Content-Length", String.valueOf(body.length))
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .then();
  }

  /** Sends a value as JSON. */
  public static Mono<Void> sendJson(HttpServerResponse response, int status, Object value) {
    return send(response, status, JSON, encodeJson(value));
  }

  /** Returns a value as JSON text. */
  public static byte[] encodeJson(Object value) {
    try {
      return JsonMappers.json().writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value must be writable as JSON", e);
    }
  }
}
