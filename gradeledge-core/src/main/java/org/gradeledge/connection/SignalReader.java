package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Parses what an upstream reports about itself in the head of a response.
 *
 * @since 0.5
 */
@FunctionalInterface
public interface SignalReader {

  /**
   * Returns the signals in a response; never throws, even if the headers are invalid.
   *
   * @param uri path and query of the request
   */
  UpstreamSignals read(String uri, int status, HttpHeaders headers);
}
