package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Status and headers of a response to any call.
 *
 * @param request request that was answered
 * @param sentAtNanos monotonic time at which the request was sent
 * @param response status and headers
 * @since 0.4
 */
public record ResponseHead(OutgoingRequest request, long sentAtNanos, HttpResponse response) {

  /** Returns the status code. */
  public int status() {
    return response.status().code();
  }

  /** Returns the response headers. */
  public HttpHeaders headers() {
    return response.headers();
  }

  /** Returns whether the upstream closes the connection after this response. */
  public boolean closesConnection() {
    return !HttpUtil.isKeepAlive(response);
  }
}
