package org.gradeledge.admission;

import java.time.Duration;
import org.HdrHistogram.Histogram;

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
  private static final int CALLS_A_TURN = 200;
  private static final int FEWEST_CALLS = 5;
  private static final double TYPICAL_PERCENTILE = 50;

  private Histogram filling = new Histogram(LONGEST_MICROS, DIGITS);
  private Histogram earlier = new Histogram(LONGEST_MICROS, DIGITS);
  private volatile Duration typical = Duration.ZERO;

  /** Takes in the time of a completed call. */
  public synchronized void record(long nanos) {
    filling.recordValue(Math.min(LONGEST_MICROS, Math.max(1, nanos / 1_000)));
    long count = filling.getTotalCount();
    if (count >= CALLS_A_TURN) {
      Histogram emptied = earlier;
      earlier = filling;
      emptied.reset();
      filling = emptied;
      typical = percentile(earlier);
    } else if (earlier.getTotalCount() == 0 && count >= FEWEST_CALLS) {
      typical = percentile(filling);
    }
  }

  /** Returns the median time of recent calls, zero while too few are known. */
  public Duration typical() {
    return typical;
  }

  private static Duration percentile(Histogram histogram) {
    return Duration.ofNanos(histogram.getValueAtPercentile(TYPICAL_PERCENTILE) * 1_000);
  }
}
