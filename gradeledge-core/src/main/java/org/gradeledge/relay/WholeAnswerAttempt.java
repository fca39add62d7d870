package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.ResponseBuffer;
import org.gradeledge.discovery.UpstreamRecord;

/** An attempt whose answer is passed on once it is whole. */
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
  void onNotRun(int answered, HttpHeaders answeredHeaders, AnswerSignals facts) {
    listener.notRun(this, answered, answeredHeaders, facts);
  }

  @Override
  void onAnswerHead(int answered, HttpHeaders answeredHeaders) {
    status = answered;
    headers = answeredHeaders;
  }

  @Override
  public void onContent(ByteBuf content) {
    if (!body.add(content)) {
      onFailure(CallFailure.GARBLED);
    }
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
