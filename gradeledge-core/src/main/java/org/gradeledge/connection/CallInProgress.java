package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A call in flight; forwards events to its listener until it is finished or cancelled. Confined to
 * the event loop.
 */
final class CallInProgress implements CancellableCall {

  private final OutgoingRequest request;
  private final CallListener listener;
  private Runnable onCancel = () -> {};
  private boolean finished;

  CallInProgress(OutgoingRequest request, CallListener listener) {
    this.request = request;
    this.listener = listener;
  }

  OutgoingRequest request() {
    return request;
  }

  boolean isFinished() {
    return finished;
  }

  void onCancel(Runnable action) {
    onCancel = action;
  }

  @Override
  public void cancel() {
    if (!finished) {
      finished = true;
      onCancel.run();
    }
  }

  /** Fails the call and closes its connection, which may still be being established. */
  void abandon(CallFailure failure) {
    fail(failure);
    onCancel.run();
  }

  void notifySent(ConnectionUse use) {
    if (!finished) {
      listener.onSent(use);
    }
  }

  void notifyHead(int status, HttpHeaders headers) {
    if (!finished) {
      listener.onHead(status, headers);
    }
  }

  void notifyContent(ByteBuf content) {
    if (finished) {
      return;
    }
    try {
      listener.onContent(content);
    } catch (UnusableResponseException e) {
      abandon(CallFailure.GARBLED);
    }
  }

  void complete() {
    if (!finished) {
      finished = true;
      listener.onComplete();
    }
  }

  void fail(CallFailure failure) {
    if (!finished) {
      finished = true;
      listener.onFailure(failure);
    }
  }
}
