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
public final class StageLatencies {

  private static final long MAX_MICROS = 600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final int CALLS_PER_HISTOGRAM = 100;
  private static final int MIN_CALLS = 5;
  private static final Duration DECAY_DELAY = Duration.ofMillis(200);
  private static final Duration DECAY_HALF_LIFE = Duration.ofMillis(200);
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double HIGH_PERCENTILE = 90;
  private static final double TAIL_PERCENTILE = 99;

  private record Estimates(Duration median, Duration percentile90, Duration percentile99) {}

  private static final Estimates UNKNOWN =
      new Estimates(Duration.ZERO, Duration.ZERO, Duration.ZERO);

  private final MonotonicClock clock;
  private Histogram current = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private Histogram previous = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private volatile Estimates estimates = UNKNOWN;
  private volatile long lastRecordedNanos;

  /** Creates times of which nothing is known yet. */
  public StageLatencies(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Takes in the time of a completed call. */
  public synchronized void record(long nanos) {
    current.recordValue(Math.min(MAX_MICROS, Math.max(1, nanos / 1_000)));
    lastRecordedNanos = clock.nanos();
    long count = current.getTotalCount();
    if (count >= CALLS_PER_HISTOGRAM) {
      Histogram emptied = previous;
      previous = current;
      emptied.reset();
      current = emptied;
      publish(previous);
    } else if (previous.getTotalCount() == 0 && count >= MIN_CALLS) {
      publish(current);
    }
  }

  /** Returns the median time of recent calls, zero while too few are known. */
  public Duration median() {
    return decayed(estimates.median());
  }

  /** Returns the time within which nine recent calls in ten ended, zero while too few are known. */
  public Duration percentile90() {
    return decayed(estimates.percentile90());
  }

  /** Returns the time that one recent call in a hundred exceeded, zero while too few are known. */
  public Duration percentile99() {
    return estimates.percentile99();
  }

  /**
   * An estimate that refuses every call would never be corrected, since nothing completes any more;
   * it fades while nothing does, until a call is let through.
   */
  private Duration decayed(Duration estimate) {
    long idleNanos = clock.nanos() - lastRecordedNanos - DECAY_DELAY.toNanos();
    if (idleNanos <= 0) {
      return estimate;
    }
    double share = Math.pow(0.5, (double) idleNanos / DECAY_HALF_LIFE.toNanos());
    return Duration.ofNanos((long) (estimate.toNanos() * share));
  }

  private void publish(Histogram histogram) {
    estimates =
        new Estimates(
            percentile(histogram, MEDIAN_PERCENTILE),
            percentile(histogram, HIGH_PERCENTILE),
            percentile(histogram, TAIL_PERCENTILE));
  }

  private static Duration percentile(Histogram histogram, double percentile) {
    return Duration.ofNanos(histogram.getValueAtPercentile(percentile) * 1_000);
  }
}
