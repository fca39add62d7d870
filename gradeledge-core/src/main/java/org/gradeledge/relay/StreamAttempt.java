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
  private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
  private long heardNanos;
  private boolean started;

  StreamAttempt(
      RelayServices services, UpstreamRecord upstream, long tokens, AttemptListener listener) {
    super(services, upstream, tokens);
    this.listener = listener;
    this.heardNanos = services.clock().nanos();
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
  boolean hasStarted() {
    return started;
  }

  /** Returns for how long nothing has come of this attempt. */
  long silentMillis() {
    return (services().clock().nanos() - heardNanos) / 1_000_000;
  }

  @Override
  public void onSent() {
    listener.sent(this);
  }

  @Override
  void onNotRun(int answered, HttpHeaders answeredHeaders, AnswerFacts facts) {
    listener.notRun(this, answered, answeredHeaders, facts);
  }

  @Override
  void onRunHead(int answered, HttpHeaders answeredHeaders) {
    status = answered;
    headers = answeredHeaders;
    heardNanos = services().clock().nanos();
  }

  @Override
  public void onContent(ByteBuf content) {
    heardNanos = services().clock().nanos();
    services().board().recordActivity(upstream());
    if (!isStream()) {
      byte[] bytes = new byte[content.readableBytes()];
      content.readBytes(bytes);
      failureBody.writeBytes(bytes);
      return;
    }
    ByteBuf events = framer.take(content);
    if (events.isReadable()) {
      if (!started) {
        started = true;
        noteStatus(status);
      }
      listener.events(this, events);
    } else {
      events.release();
    }
  }

  @Override
  void onBroken(CallFailure failure) {
    framer.dropPartial();
    listener.failed(this, failure);
  }

  @Override
  void onWhole() {
    if (!isStream()) {
      noteStatus(status);
      byte[] body = failureBody.toByteArray();
      listener.answered(this, status, headers, Unpooled.wrappedBuffer(body));
    } else if (started && framer.atBoundary()) {
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
