package org.gradeledge.batch;

import org.gradeledge.deployment.Urgency;
import org.gradeledge.time.MonotonicClock;

/**
 * How many pieces arrive for one service, for each priority: sums that fade, so that a rate follows
 * a change within seconds and no arrival has to be remembered. Confined to the event loop.
 */
final class ArrivalRates {

  /** Long against a call of some 300 ms, short against bursts of several seconds. */
  private static final double DECAY_SECONDS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  private final MonotonicClock clock;
  private final double[] decayedCounts = new double[Urgency.LEVELS];
  private long decayedAtNanos;

  ArrivalRates(MonotonicClock clock) {
    this.clock = clock;
    this.decayedAtNanos = clock.nanos();
  }

  /** Counts pieces that have just arrived. */
  void recordArrivals(int priority, int pieces) {
    decay();
    decayedCounts[Math.max(0, Math.min(priority, decayedCounts.length - 1))] += pieces;
  }

  /** Returns how many pieces arrive in a second that are more urgent than a priority. */
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
    double kept = Math.exp((decayedAtNanos - now) / (DECAY_SECONDS * NANOS_PER_SECOND));
    decayedAtNanos = now;
    for (int level = 0; level < decayedCounts.length; level++) {
      decayedCounts[level] *= kept;
    }
  }
}
