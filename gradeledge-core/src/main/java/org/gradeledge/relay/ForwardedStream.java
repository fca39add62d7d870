package org.gradeledge.relay;

import java.util.Optional;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.resumption.StreamOrigin;

/** Tracks how much of a stream was forwarded to the caller. Confined to the event loop. */
final class ForwardedStream {

  private final UpstreamCandidates candidates;
  private Optional<String> lastEventId;
  private boolean started;

  /** Creates a stream of which nothing was forwarded. */
  ForwardedStream(ExchangeContext context) {
    this.candidates = context.candidates();
    this.lastEventId = context.admitted().request().lastEventId();
  }

  /**
   * Marks the stream as started; from then on only upstreams that can continue it are candidates.
   *
   * @param upstream the upstream that sent the first event
   * @return whether the stream was not started before
   */
  boolean start(UpstreamRecord upstream) {
    if (started) {
      return false;
    }
    started = true;
    candidates.restrictTo(StreamOrigin.of(upstream));
    return true;
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
