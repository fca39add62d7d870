package org.gradeledge.admission;

import java.time.Duration;
import org.HdrHistogram.Histogram;
import org.gradeledge.time.MonotonicClock;

/**
 * How long the calls of one stage have taken lately.
 *
 * <p>Two histograms in turn: one is read while the other fills, so that old calls are forgotten.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class StageTimes {

  private static final long LONGEST_MICROS = 600_000_000L;
  private static final int DIGITS = 2;
  private static final int CALLS_A_TURN = 100;
  private static final int FEWEST_CALLS = 5;
  private static final Duration FULL_FOR = Duration.ofMillis(200);
  private static final Duration HALF_LIFE = Duration.ofMillis(200);
  private static final double TYPICAL_PERCENTILE = 50;
  private static final double LIKELY_PERCENTILE = 90;
  private static final double SLOW_PERCENTILE = 99;

  private record Estimates(Duration typical, Duration likely, Duration slow) {}

  private static final Estimates UNKNOWN =
      new Estimates(Duration.ZERO, Duration.ZERO, Duration.ZERO);

  private final MonotonicClock clock;
  private Histogram filling = new Histogram(LONGEST_MICROS, DIGITS);
  private Histogram earlier = new Histogram(LONGEST_MICROS, DIGITS);
  private volatile Estimates estimates = UNKNOWN;
  private volatile long lastNanos;

  /** Creates times of which nothing is known yet. */
  public StageTimes(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Takes in the time of a completed call. */
  public synchronized void record(long nanos) {
    filling.recordValue(Math.min(LONGEST_MICROS, Math.max(1, nanos / 1_000)));
    lastNanos = clock.nanos();
    long count = filling.getTotalCount();
    if (count >= CALLS_A_TURN) {
      Histogram emptied = earlier;
      earlier = filling;
      emptied.reset();
      filling = emptied;
      publish(earlier);
    } else if (earlier.getTotalCount() == 0 && count >= FEWEST_CALLS) {
      publish(filling);
    }
  }

  /** Returns the median time of recent calls, zero while too few are known. */
  public Duration typical() {
    return faded(estimates.typical());
  }

  /** Returns the time within which nine recent calls in ten ended, zero while too few are known. */
  public Duration likely() {
    return faded(estimates.likely());
  }

  /** Returns the time that one recent call in a hundred exceeded, zero while too few are known. */
  public Duration slow() {
    return estimates.slow();
  }

  /**
   * An estimate that refuses every call would never be corrected, since nothing completes any more;
   * it fades while nothing does, until a call is let through.
   */
  private Duration faded(Duration estimate) {
    long idleNanos = clock.nanos() - lastNanos - FULL_FOR.toNanos();
    if (idleNanos <= 0) {
      return estimate;
    }
    double share = Math.pow(0.5, (double) idleNanos / HALF_LIFE.toNanos());
    return Duration.ofNanos((long) (estimate.toNanos() * share));
  }

  private void publish(Histogram histogram) {
    estimates =
        new Estimates(
            percentile(histogram, TYPICAL_PERCENTILE),
            percentile(histogram, LIKELY_PERCENTILE),
            percentile(histogram, SLOW_PERCENTILE));
  }

  private static Duration percentile(Histogram histogram, double percentile) {
    return Duration.ofNanos(histogram.getValueAtPercentile(percentile) * 1_000);
  }
}
