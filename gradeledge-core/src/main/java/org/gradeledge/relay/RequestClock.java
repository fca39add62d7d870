package org.gradeledge.relay;

import org.gradeledge.time.MonotonicClock;

/** The times of one request, on the box's monotonic clock. */
final class RequestClock {

  private final MonotonicClock clock;
  private final long startNanos;
  private final long limitMillis;
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
    this.limitMillis = limitMillis;
    this.targetMillis = targetMillis;
  }

  long elapsedMillis() {
    return (clock.nanos() - startNanos) / 1_000_000;
  }

  long leftMillis() {
    return Math.max(0, limitMillis - elapsedMillis());
  }

  /** Returns the time left until a part of all the time is used, the whole rest once it is. */
  long leftOfPartMillis(double part) {
    long left = (long) (limitMillis * part) - elapsedMillis();
    return left > 0 ? left : leftMillis();
  }

  /** Returns the time left until the answer comes late, negative once it is. */
  long targetLeftMillis() {
    return targetMillis - elapsedMillis();
  }
}
