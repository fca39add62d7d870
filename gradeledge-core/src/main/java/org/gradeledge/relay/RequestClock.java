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

  /** Returns the time left until the answer comes late, negative once it is. */
  long targetLeftMillis() {
    return targetMillis - elapsedMillis();
  }
}
