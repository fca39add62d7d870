package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * How upstreams say on the wire what the head of an answer tells of themselves.
 *
 * @since 0.5
 */
@FunctionalInterface
public interface SignalReader {

  /**
   * Returns what an answer says; never fails, whatever stands in it.
   *
   * @param uri path and query of the request that it answers
   */
  UpstreamSignals read(String uri, int status, HttpHeaders headers);
}
