package org.gradeledge.relay;

import org.gradeledge.time.MonotonicClock;

/** Measures the elapsed and remaining time of one request. */
final class RequestClock {

  private final MonotonicClock clock;
  private final long startNanos;
  private final long timeoutMillis;
  private final long targetMillis;
  private boolean answerBegun;

  /**
   * Starts the clock.
   *
   * @param startNanos time of arrival of the request
   * @param timeoutMillis time after which the request fails
   * @param targetMillis time within which the answer should be complete
   */
  RequestClock(MonotonicClock clock, long startNanos, long limitMillis, long targetMillis) {
    this.clock = clock;
    this.startNanos = startNanos;
    this.timeoutMillis = limitMillis;
    this.targetMillis = targetMillis;
  }

  long elapsedMillis() {
    return (clock.nanos() - startNanos) / 1_000_000;
  }

  long remainingMillis() {
    return Math.max(0, timeoutMillis - elapsedMillis());
  }

  /**
   * Returns the time left until a share of the timeout has elapsed, or all remaining time once it
   * has.
   */
  long remainingMillisOfShare(double share) {
    long remaining = (long) (timeoutMillis * share) - elapsedMillis();
    return remaining > 0 ? remaining : remainingMillis();
  }

  /** Records that the first event was forwarded: only the timeout counts from then on. */
  void answerBegun() {
    answerBegun = true;
  }

  /** Returns the time from the arrival of the request within which its answer should begin. */
  long targetMillis() {
    return targetMillis;
  }

  /**
   * Returns the time left until the target time, negative after it; until the timeout once the
   * answer has begun.
   */
  long targetRemainingMillis() {
    return answerBegun ? remainingMillis() : targetMillis - elapsedMillis();
  }
}
