package org.gradeledge.relay;

import java.util.Optional;

/** Tracks how much of a stream was forwarded to the caller. Confined to the event loop. */
final class ForwardedStream {

  private Optional<String> lastEventId;
  private boolean started;

  /**
   * Creates a stream of which nothing was forwarded.
   *
   * @param resumeAfter id of the event after which the caller resumes the stream
   */
  ForwardedStream(Optional<String> resumeAfter) {
    this.lastEventId = resumeAfter;
  }

  /** Marks the stream as started; returns whether it was not started before. */
  boolean start() {
    boolean first = !started;
    started = true;
    return first;
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
