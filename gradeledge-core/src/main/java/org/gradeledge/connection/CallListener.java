package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Hears of one call, on the event loop: that it was sent, a head, contents, and then exactly one of
 * {@link #onComplete} and {@link #onFailure}; a failure may come at any moment. Nothing is heard
 * after a cancellation.
 *
 * @since 0.2
 */
public interface CallListener {

  /** The request was handed to an open connection. */
  default void onSent() {}

  /** The head of the answer has arrived. */
  void onHead(int status, HttpHeaders headers);

  /** A part of the body has arrived; the buffer is released after the call. */
  void onContent(ByteBuf content);

  /** The answer is whole. */
  void onComplete();

  /** There is no whole answer. */
  void onFailure(CallFailure failure);
}
