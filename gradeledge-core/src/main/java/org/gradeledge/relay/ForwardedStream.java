package org.gradeledge.relay;

import java.util.Optional;
import org.gradeledge.discovery.UpstreamRecord;
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

  /**
   * Marks the stream as started: from then on only upstreams that can continue it are candidates,
   * and its origin is recorded in case that the caller resumes it.
   *
   * @param upstream the upstream that sent the first event
   * @return whether the stream was not started before
   */
  boolean start(UpstreamRecord upstream) {
    if (started) {
      return false;
    }
    started = true;
    Optional<StreamOrigin> origin = StreamOrigin.of(upstream);
    context.candidates().restrictTo(origin);
    context.admitted().recordedRequestId().ifPresent(id -> recordOrigin(id, origin));
    return true;
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

  /** Records the id of the last forwarded event, if it has one. */
  void recordLastEventId(Optional<String> id) {
    lastEventId = id.or(() -> lastEventId);
  }

  /** Returns the id of the event after which another upstream must resume. */
  Optional<String> lastEventId() {
    return lastEventId;
  }
}
