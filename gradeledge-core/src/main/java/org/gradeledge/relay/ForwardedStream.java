package org.gradeledge.relay;

import java.util.Optional;

/** How far the stream of one answer was passed on to the caller. Confined to the event loop. */
final class ForwardedStream {

  private Optional<String> lastEventId;
  private boolean started;

  /**
   * Creates one that has not begun.
   *
   * @param resumeAfter the event after which the caller wants the stream to begin
   */
  ForwardedStream(Optional<String> resumeAfter) {
    this.lastEventId = resumeAfter;
  }

  /** Notes that events are passed on; returns whether they are the first. */
  boolean start() {
    boolean first = !started;
    started = true;
    return first;
  }

  /** Returns whether the caller has got any of it. */
  boolean isStarted() {
    return started;
  }

  /** Notes the id of the last event, where it had one. */
  void recordLastEventId(Optional<String> id) {
    lastEventId = id.or(() -> lastEventId);
  }

  /** Returns the id of the event after which another upstream is to go on. */
  Optional<String> lastEventId() {
    return lastEventId;
  }
}
