package org.gradeledge.batch;

import org.gradeledge.deployment.Urgency;
import org.gradeledge.time.MonotonicClock;

/**
 * Estimates the arrival rate of pieces for one service and each priority by exponentially decaying
 * counts. Confined to the event loop.
 */
final class ArrivalRates {

  /** Long compared with a call of about 300 ms, short compared with bursts of several seconds. */
  private static final double DECAY_SECONDS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  private final MonotonicClock clock;
  private final double[] decayedCounts = new double[Urgency.LEVELS];
  private long decayedAtNanos;

  ArrivalRates(MonotonicClock clock) {
    this.clock = clock;
    this.decayedAtNanos = clock.nanos();
  }

  void recordArrivals(int priority, int pieces) {
    decay();
    decayedCounts[PendingPieces.level(priority)] += pieces;
  }

  /** Returns the number of pieces per second that are more urgent than the given priority. */
  double ratePerSecondAbove(int priority) {
    decay();
    double sum = 0;
    for (int level = 0; level < Math.min(priority, decayedCounts.length); level++) {
      sum += decayedCounts[level];
    }
    return sum / DECAY_SECONDS;
  }

  private void decay() {
    long now = clock.nanos();
    double factor = Math.exp((decayedAtNanos - now) / (DECAY_SECONDS * NANOS_PER_SECOND));
    decayedAtNanos = now;
    for (int level = 0; level < decayedCounts.length; level++) {
      decayedCounts[level] *= factor;
    }
  }
}
