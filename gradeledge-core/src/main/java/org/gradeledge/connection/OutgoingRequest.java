package org.gradeledge.connection;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/**
 * A request to an upstream.
 *
 * @param method HTTP method
 * @param uri path and query, unchanged
 * @param headers headers without connection-specific ones
 * @param body complete body
 * @param correlationHeader header that the response must contain to be accepted
 * @param reuse pooled connections that may carry the request
 * @since 0.2
 */
public record OutgoingRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    Optional<CorrelationHeader> correlationHeader,
    ConnectionReuse reuse) {

  /** Returns whether a response has the id of this request, if this has one. */
  boolean isAnsweredBy(HttpResponse response) {
    return correlationHeader
        .map(expected -> expected.value().equals(response.headers().get(expected.header())))
        .orElse(true);
  }

  /** Returns the request as it is sent. */
  FullHttpRequest encode() {
    FullHttpRequest encoded =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
    encoded.headers().set(headers);
    if (body.length > 0) {
      HttpUtil.setContentLength(encoded, body.length);
    }
    return encoded;
  }
}
