package org.gradeledge.deployment;

/**
 * Whether and how requests of a route may be repeated.
 *
 * @since 0.2
 */
public enum Repeatability {
  /** Requests may run any number of times. */
  REPEATABLE(false),
  /** Requests may run at most once. */
  ONCE(false),
  /** Requests are answered by a stream of events and may run at most once. */
  STREAM(true),
  /** Requests are answered by a stream of events that another upstream may resume. */
  RESUMABLE_STREAM(true);

  private final boolean streaming;

  Repeatability(boolean streaming) {
    this.streaming = streaming;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streaming() {
    return streaming;
  }

  /** Returns whether a request may be sent again even if it may have run. */
  public boolean repeatable() {
    return this == REPEATABLE || this == RESUMABLE_STREAM;
  }
}
