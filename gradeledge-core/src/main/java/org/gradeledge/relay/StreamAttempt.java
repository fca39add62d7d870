package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.discovery.UpstreamRecord;

/** An attempt whose answer is a stream of events; other answers are passed on whole. */
final class StreamAttempt extends AbstractAttempt {

  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;

  private final AttemptListener listener;
  private final EventFramer framer = new EventFramer();
  private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
  private long lastActivityNanos;
  private boolean eventsStarted;

  StreamAttempt(
      RelayServices services, UpstreamRecord upstream, long tokens, AttemptListener listener) {
    super(services, upstream, tokens);
    this.listener = listener;
    this.lastActivityNanos = services.clock().nanos();
  }

  int status() {
    return status;
  }

  HttpHeaders headers() {
    return headers;
  }

  /** Returns the id of the last whole event of this attempt. */
  Optional<String> lastEventId() {
    return framer.lastId();
  }

  /** Returns whether events have arrived. */
  boolean hasStartedEvents() {
    return eventsStarted;
  }

  /** Returns for how long nothing has come of this attempt. */
  long silentMillis() {
    return (services().clock().nanos() - lastActivityNanos) / 1_000_000;
  }

  @Override
  public void onSent() {
    listener.sent(this);
  }

  @Override
  void onNotRun(int answered, HttpHeaders answeredHeaders, AnswerSignals facts) {
    listener.notRun(this, answered, answeredHeaders, facts);
  }

  @Override
  void onAnswerHead(int answered, HttpHeaders answeredHeaders) {
    status = answered;
    headers = answeredHeaders;
    lastActivityNanos = services().clock().nanos();
  }

  @Override
  public void onContent(ByteBuf content) {
    lastActivityNanos = services().clock().nanos();
    services().loads().recordActivity(upstream());
    if (!isStream()) {
      byte[] bytes = new byte[content.readableBytes()];
      content.readBytes(bytes);
      errorBody.writeBytes(bytes);
      return;
    }
    ByteBuf events = framer.append(content);
    if (events.isReadable()) {
      if (!eventsStarted) {
        eventsStarted = true;
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
    } else if (eventsStarted && framer.isAtEventBoundary()) {
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
