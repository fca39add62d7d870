package org.gradeledge.time;

import java.time.Duration;

/**
 * A point in time on a monotonic clock by which an operation must be complete. Immutable.
 *
 * @since 0.1
 */
public final class Deadline {

  private final MonotonicClock clock;
  private final long startNanos;
  private final long timeoutNanos;

  private Deadline(MonotonicClock clock, long startNanos, long timeoutNanos) {
    this.clock = clock;
    this.startNanos = startNanos;
    this.timeoutNanos = timeoutNanos;
  }

  /** Returns the deadline that is the given time from now. */
  public static Deadline after(MonotonicClock clock, Duration timeout) {
    return new Deadline(clock, clock.nanos(), timeout.toNanos());
  }

  /** Returns the remaining time, or zero if the deadline has passed. */
  public Duration remaining() {
    return Duration.ofNanos(Math.max(0, timeoutNanos - elapsedNanos()));
  }

  /** Returns whether the deadline has passed. */
  public boolean hasPassed() {
    return elapsedNanos() >= timeoutNanos;
  }

  /** Returns the nanoseconds since the deadline was created. */
  public long elapsedNanos() {
    return clock.nanos() - startNanos;
  }
}
