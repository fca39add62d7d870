package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.gradeledge.resumption.OriginRecord;
import org.gradeledge.resumption.StreamOrigin;

/** Tracks how much of a stream was forwarded to the caller. Confined to the event loop. */
final class ForwardedStream {

  /** Covers the delay of the last request that the caller sends before its deadline. */
  private static final long RETENTION_MARGIN_MILLIS = 2_000;

  private final ExchangeContext context;
  private Optional<String> lastEventId;
  private boolean started;

  /** Creates a stream of which nothing was forwarded. */
  ForwardedStream(ExchangeContext context) {
    this.context = context;
    this.lastEventId = context.admitted().request().lastEventId();
  }

  /** Forwards events to the caller and takes over the reference to the buffer. */
  void forward(StreamAttempt source, ByteBuf events) {
    if (!started) {
      start(source);
    }
    lastEventId = source.lastEventId().or(() -> lastEventId);
    context.outcome().sendEvents(events);
  }

  /**
   * Starts the stream: from then on only upstreams that can continue it are candidates, and its
   * origin is recorded in case that the caller resumes it.
   */
  private void start(StreamAttempt source) {
    started = true;
    Optional<StreamOrigin> origin = StreamOrigin.of(source.upstream());
    context.candidates().restrictTo(origin);
    context.admitted().recordedRequestId().ifPresent(id -> recordOrigin(id, origin));
    context.inputs().release();
    context.clock().answerBegun();
    context.outcome().beginStream(source, source.status(), source.headers());
  }

  private void recordOrigin(String requestId, Optional<StreamOrigin> origin) {
    AdmittedRequest admitted = context.admitted();
    long retentionMillis =
        admitted.callerDeadlineMillis() - context.clock().elapsedMillis() + RETENTION_MARGIN_MILLIS;
    origin
        .map(known -> OriginRecord.of(requestId, known, retentionMillis))
        .ifPresent(context.services().streamOrigins()::record);
  }

  boolean isStarted() {
    return started;
  }

  /** Returns the id of the event after which another upstream must resume. */
  Optional<String> lastEventId() {
    return lastEventId;
  }
}
