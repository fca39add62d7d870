package org.gradeledge.relay;

import java.util.Optional;

/** How far the stream of one answer was passed on to the caller. Confined to the event loop. */
final class PassedOnStream {

  private Optional<String> lastEventId;
  private boolean begun;

  /**
   * Creates one that has not begun.
   *
   * @param resumeAfter the event after which the caller wants the stream to begin
   */
  PassedOnStream(Optional<String> resumeAfter) {
    this.lastEventId = resumeAfter;
  }

  /** Notes that events are passed on; returns whether they are the first. */
  boolean begin() {
    boolean first = !begun;
    begun = true;
    return first;
  }

  /** Returns whether the caller has got any of it. */
  boolean hasBegun() {
    return begun;
  }

  /** Notes the id of the last event, where it had one. */
  void passedOn(Optional<String> id) {
    lastEventId = id.or(() -> lastEventId);
  }

  /** Returns the id of the event after which another upstream is to go on. */
  Optional<String> lastEventId() {
    return lastEventId;
  }
}
