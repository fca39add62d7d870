package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The way back to a caller. Exactly one final call is made: {@link #refuse}, {@link #answer},
 * {@link #endStream} or {@link #abort}.
 *
 * @since 0.2
 */
public interface CallerResponse {

  /**
   * Ends the request with an answer of the box itself.
   *
   * @param retryAfterMillis when asking again may help; told only where the request has not run
   */
  void refuse(Refusal refusal, long retryAfterMillis);

  /** Ends the request with an upstream's whole answer. */
  void answer(int status, HttpHeaders headers, ByteBuf body);

  /** Starts to pass a stream of events on. */
  void beginStream(int status, HttpHeaders headers);

  /** Passes a part of the stream on and takes over its reference. */
  void sendEvents(ByteBuf events);

  /** Ends the stream as complete. */
  void endStream();

  /** Breaks the stream off, so that it cannot be taken for complete. */
  void abort();
}
