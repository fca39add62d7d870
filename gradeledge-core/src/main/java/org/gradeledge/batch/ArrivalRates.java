package org.gradeledge.batch;

import org.gradeledge.deployment.Urgency;
import org.gradeledge.time.MonotonicClock;

/**
 * Estimates the arrival rate of pieces for one service and each priority by exponentially decaying
 * counts, and how long after their arrival they are due. Confined to the event loop.
 */
final class ArrivalRates {

  /** Long compared with a call of about 300 ms, short compared with bursts of several seconds. */
  private static final double DECAY_SECONDS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Decay is not computed again within this time. */
  private static final long MIN_DECAY_NANOS = 1_000_000;

  /** Decayed count below which the mean of the due times is not known any more. */
  private static final double MIN_COUNT = 1e-6;

  private final MonotonicClock clock;
  private final double[] decayedCounts = new double[Urgency.LEVELS];
  private final double[] decayedDueMillis = new double[Urgency.LEVELS];
  private long decayedAtNanos;

  ArrivalRates(MonotonicClock clock) {
    this.clock = clock;
    this.decayedAtNanos = clock.nanos();
  }

  /**
   * Records the pieces of a group.
   *
   * @param dueMillis time until they are due
   */
  void recordArrivals(int priority, int pieces, long dueMillis) {
    decay();
    int level = PendingPieces.level(priority);
    decayedCounts[level] += pieces;
    decayedDueMillis[level] += (double) pieces * dueMillis;
  }

  /** Returns the number of pieces of a priority that arrive per second. */
  double ratePerSecond(int priority) {
    decay();
    return decayedCounts[PendingPieces.level(priority)] / DECAY_SECONDS;
  }

  /** Returns the mean time from the arrival of a priority's pieces until they are due. */
  double meanDueMillis(int priority, double defaultMillis) {
    decay();
    int level = PendingPieces.level(priority);
    return decayedCounts[level] < MIN_COUNT
        ? defaultMillis
        : decayedDueMillis[level] / decayedCounts[level];
  }

  private void decay() {
    long now = clock.nanos();
    if (now - decayedAtNanos < MIN_DECAY_NANOS) {
      return;
    }
    double factor = Math.exp((decayedAtNanos - now) / (DECAY_SECONDS * NANOS_PER_SECOND));
    decayedAtNanos = now;
    for (int level = 0; level < decayedCounts.length; level++) {
      decayedCounts[level] *= factor;
      decayedDueMillis[level] *= factor;
    }
  }
}
