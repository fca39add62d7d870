package org.gradeledge.limit;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * How upstreams say on the wire how many requests they take.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface LimitReader {

  /**
   * Returns what an answer says.
   *
   * @param uri path and query of the request that it answers
   */
  LimitStatement read(String uri, int status, HttpHeaders headers);
}
