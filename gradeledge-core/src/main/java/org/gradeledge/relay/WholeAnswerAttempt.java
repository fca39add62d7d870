package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.ResponseBuffer;
import org.gradeledge.discovery.UpstreamRecord;

/** An attempt whose answer is buffered and forwarded once it is complete. */
final class WholeAnswerAttempt extends AbstractAttempt {

  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final AttemptListener listener;
  private final ResponseBuffer body = new ResponseBuffer(MAX_BODY_BYTES);
  private int status;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

  WholeAnswerAttempt(RelayServices services, UpstreamRecord upstream, AttemptListener listener) {
    super(services, upstream, 0);
    this.listener = listener;
  }

  @Override
  void onNotRun(int answerStatus, HttpHeaders answerHeaders, AnswerSignals signals) {
    listener.notRun(this, answerStatus, answerHeaders, signals);
  }

  @Override
  void onAnswerHead(int answerStatus, HttpHeaders answerHeaders) {
    status = answerStatus;
    headers = answerHeaders;
  }

  @Override
  public void onContent(ByteBuf content) {
    body.add(content);
  }

  @Override
  void onAnswerIncomplete(CallFailure failure) {
    listener.failed(this, failure);
  }

  @Override
  void onAnswerComplete() {
    recordStatus(status);
    listener.answered(this, status, headers, Unpooled.wrappedBuffer(body.toByteArray()));
  }
}
