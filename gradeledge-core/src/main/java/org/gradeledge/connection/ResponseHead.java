package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * The head of an answer, for those that learn of the upstream from all answers alike.
 *
 * @param request what it answers
 * @param sentAtNanos when that was sent, by the monotonic clock
 * @param response status and headers
 * @since 0.4
 */
public record ResponseHead(OutgoingRequest request, long sentAtNanos, HttpResponse response) {

  /** Returns the status code. */
  public int status() {
    return response.status().code();
  }

  /** Returns the headers. */
  public HttpHeaders headers() {
    return response.headers();
  }

  /** Returns whether the upstream closes the connection after this answer. */
  public boolean closesConnection() {
    return !HttpUtil.isKeepAlive(response);
  }
}
