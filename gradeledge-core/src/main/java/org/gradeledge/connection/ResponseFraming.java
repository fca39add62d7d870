package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** What marks the end of a response. */
enum ResponseFraming {
  /** A length or a last chunk. */
  DELIMITED,
  /** The status, which allows no content. */
  EMPTY,
  /** The end of the connection. */
  CONNECTION;

  static ResponseFraming of(HttpResponse response) {
    if (HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)) {
      return DELIMITED;
    }
    return allowsContent(response.status()) ? CONNECTION : EMPTY;
  }

  private static boolean allowsContent(HttpResponseStatus status) {
    return !HttpResponseStatus.NO_CONTENT.equals(status)
        && !HttpResponseStatus.NOT_MODIFIED.equals(status);
  }

  /** Returns whether the connection may carry another call after the response. */
  boolean allowsReuse() {
    return this == DELIMITED;
  }
}
