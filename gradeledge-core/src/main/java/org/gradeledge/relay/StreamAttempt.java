package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.ResponseBuffer;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * An attempt whose answer is a stream of events. Answers with an error status are buffered and
 * forwarded as a whole.
 */
final class StreamAttempt extends AbstractAttempt {

  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int MAX_ERROR_BODY_BYTES = 1024 * 1024;

  private final AttemptListener listener;
  private final EventFramer framer = new EventFramer();
  private final ResponseBuffer errorBody = new ResponseBuffer(MAX_ERROR_BODY_BYTES);
  private int status;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
  private int eventReads;

  StreamAttempt(
      RelayServices services, UpstreamRecord upstream, long tokens, AttemptListener listener) {
    super(services, upstream, tokens);
    this.listener = listener;
  }

  int status() {
    return status;
  }

  HttpHeaders headers() {
    return headers;
  }

  /** Returns the id of the last complete event of this attempt. */
  Optional<String> lastEventId() {
    return framer.lastId();
  }

  boolean hasStartedEvents() {
    return eventReads > 0;
  }

  @Override
  public int eventReads() {
    return eventReads;
  }

  @Override
  void onSent() {
    listener.sent(this);
  }

  @Override
  void onNotRun(int answerStatus, HttpHeaders answerHeaders, AnswerSignals signals) {
    listener.notRun(this, answerStatus, answerHeaders, signals);
  }

  @Override
  void onAnswerHead(int answerStatus, HttpHeaders answerHeaders) {
    status = answerStatus;
    headers = answerHeaders;
    recordActivity();
  }

  @Override
  public void onContent(ByteBuf content) {
    recordActivity();
    if (!isStream()) {
      errorBody.add(content);
      return;
    }
    ByteBuf events = framer.append(content);
    if (events.isReadable()) {
      eventReads++;
      if (eventReads == 1) {
        recordStatus(status);
      }
      listener.eventsReceived(this, events);
    } else {
      events.release();
    }
  }

  @Override
  void onAnswerIncomplete(CallFailure failure) {
    framer.dropPartial();
    listener.failed(this, failure);
  }

  @Override
  void onAnswerComplete() {
    if (!isStream()) {
      recordStatus(status);
      byte[] body = errorBody.toByteArray();
      listener.answered(this, status, headers, Unpooled.wrappedBuffer(body));
    } else if (eventReads > 0 && framer.isAtEventBoundary()) {
      listener.streamEnded(this);
    } else {
      framer.dropPartial();
      listener.failed(this, CallFailure.BROKEN);
    }
  }

  private boolean isStream() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }
}
