package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the events of one call on the event loop: request sent, response head, body parts, and
 * then exactly one of {@link #onComplete} and {@link #onFailure}. A failure may occur at any time.
 * No events follow a cancellation.
 *
 * @since 0.2
 */
public interface CallListener {

  /**
   * Called when the request is handed to an open connection.
   *
   * @param use the connection and the number of the call on it
   */
  default void onSent(ConnectionUse use) {}

  /** Called when the response head is received. */
  void onHead(int status, HttpHeaders headers);

  /**
   * Called for each part of the response body; the buffer is released after the call.
   *
   * @throws UnusableResponseException if the listener cannot use the content; the call then fails
   */
  void onContent(ByteBuf content);

  /** Called when the response is complete. */
  void onComplete();

  /** Called when the call fails without a complete response. */
  void onFailure(CallFailure failure);
}
