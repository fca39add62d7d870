package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** A call and what is left to tell its listener. Confined to the event loop. */
final class CallInProgress implements UpstreamCall {

  private final OutgoingRequest request;
  private final CallListener listener;
  private Runnable onCancel = () -> {};
  private boolean over;

  CallInProgress(OutgoingRequest request, CallListener listener) {
    this.request = request;
    this.listener = listener;
  }

  OutgoingRequest request() {
    return request;
  }

  boolean isOver() {
    return over;
  }

  void onCancel(Runnable action) {
    onCancel = action;
  }

  @Override
  public void cancel() {
    if (!over) {
      over = true;
      onCancel.run();
    }
  }

  /** Fails a call that was not sent, and closes what it waits for. */
  void giveUp(CallFailure failure) {
    fail(failure);
    onCancel.run();
  }

  void sent() {
    if (!over) {
      listener.onSent();
    }
  }

  void head(int status, HttpHeaders headers) {
    if (!over) {
      listener.onHead(status, headers);
    }
  }

  void content(ByteBuf content) {
    if (!over) {
      listener.onContent(content);
    }
  }

  void complete() {
    if (!over) {
      over = true;
      listener.onComplete();
    }
  }

  void fail(CallFailure failure) {
    if (!over) {
      over = true;
      listener.onFailure(failure);
    }
  }
}
