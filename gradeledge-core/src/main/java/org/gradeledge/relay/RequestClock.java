package org.gradeledge.relay;

import org.gradeledge.time.MonotonicClock;

/** The times of one request, on the box's monotonic clock. */
final class RequestClock {

  private final MonotonicClock clock;
  private final long startNanos;
  private final long timeoutMillis;
  private final long targetMillis;

  /**
   * Starts now.
   *
   * @param limitMillis after this the request is worth nothing
   * @param targetMillis until then the answer earns its full worth
   */
  RequestClock(MonotonicClock clock, long limitMillis, long targetMillis) {
    this.clock = clock;
    this.startNanos = clock.nanos();
    this.timeoutMillis = limitMillis;
    this.targetMillis = targetMillis;
  }

  long elapsedMillis() {
    return (clock.nanos() - startNanos) / 1_000_000;
  }

  long remainingMillis() {
    return Math.max(0, timeoutMillis - elapsedMillis());
  }

  /** Returns the time left until a part of all the time is used, the whole rest once it is. */
  long remainingMillisOfShare(double part) {
    long left = (long) (timeoutMillis * part) - elapsedMillis();
    return left > 0 ? left : remainingMillis();
  }

  /** Returns the time left until the answer comes late, negative once it is. */
  long targetRemainingMillis() {
    return targetMillis - elapsedMillis();
  }
}
