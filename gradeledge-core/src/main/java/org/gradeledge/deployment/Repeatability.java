package org.gradeledge.deployment;

/**
 * What may be done again with a request of a route.
 *
 * @since 0.2
 */
public enum Repeatability {
  /** May run any number of times. */
  REPEATABLE(false),
  /** May run at most once. */
  ONCE(false),
  /** Answered by a stream of events, and run at most once. */
  STREAM(true),
  /** Answered by a stream of events that another upstream may continue. */
  RESUMABLE_STREAM(true);

  private final boolean streaming;

  Repeatability(boolean streaming) {
    this.streaming = streaming;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streaming() {
    return streaming;
  }

  /** Returns whether a request may be sent again although it may have run. */
  public boolean repeatable() {
    return this == REPEATABLE || this == RESUMABLE_STREAM;
  }
}
