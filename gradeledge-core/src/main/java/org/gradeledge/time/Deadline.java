package org.gradeledge.time;

import java.time.Duration;

/**
 * A moment on a monotonic clock by which something must be done. Immutable.
 *
 * @since 0.1
 */
public final class Deadline {

  private final MonotonicClock clock;
  private final long startNanos;
  private final long limitNanos;

  private Deadline(MonotonicClock clock, long startNanos, long limitNanos) {
    this.clock = clock;
    this.startNanos = startNanos;
    this.limitNanos = limitNanos;
  }

  /** Returns the deadline that lies {@code limit} after now. */
  public static Deadline after(MonotonicClock clock, Duration limit) {
    return new Deadline(clock, clock.nanos(), limit.toNanos());
  }

  /** Returns the time left, zero once passed. */
  public Duration remaining() {
    return Duration.ofNanos(Math.max(0, limitNanos - elapsedNanos()));
  }

  /** Returns whether it has passed. */
  public boolean hasPassed() {
    return elapsedNanos() >= limitNanos;
  }

  /** Returns the nanoseconds since it was set. */
  public long elapsedNanos() {
    return clock.nanos() - startNanos;
  }
}
