package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Sends the answer of a request to its caller. Exactly one final method is called: {@link #refuse},
 * {@link #answer}, {@link #endStream} or {@link #abort}.
 *
 * @since 0.2
 */
public interface CallerResponse {

  /**
   * Ends the request with an error answer of this box.
   *
   * @param retryAfterMillis delay after which a retry may succeed; sent only if the request has not
   *     run
   * @param subject what is refused, for the explanation; may be empty
   */
  void refuse(Refusal refusal, long retryAfterMillis, String subject);

  /** Ends the request with an error answer whose explanation names nothing. */
  default void refuse(Refusal refusal, long retryAfterMillis) {
    refuse(refusal, retryAfterMillis, "");
  }

  /** Ends the request with the complete answer of an upstream. */
  void answer(int status, HttpHeaders headers, ByteBuf body);

  /** Starts a stream of events. */
  void beginStream(int status, HttpHeaders headers);

  /**
   * Sends events of the stream and takes over the reference to the buffer. Returns whether they
   * were accepted; if not, the caller does not receive them.
   */
  boolean sendEvents(ByteBuf events);

  /** Ends the stream normally. */
  void endStream();

  /** Aborts the connection, so that the caller can tell that the stream is incomplete. */
  void abort();
}
