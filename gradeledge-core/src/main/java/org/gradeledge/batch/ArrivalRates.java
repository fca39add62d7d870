package org.gradeledge.batch;

import org.gradeledge.deployment.Urgency;
import org.gradeledge.time.MonotonicClock;

/**
 * How many pieces arrive for one service, for each priority: sums that fade, so that a rate follows
 * a change within seconds and no arrival has to be remembered. Confined to the event loop.
 */
final class ArrivalRates {

  /** Long against a call of some 300 ms, short against bursts of several seconds. */
  private static final double FADING_SECONDS = 2;

  private static final double NANOS_OF_SECOND = 1e9;

  private final MonotonicClock clock;
  private final double[] sums = new double[Urgency.LEVELS];
  private long fadedNanos;

  ArrivalRates(MonotonicClock clock) {
    this.clock = clock;
    this.fadedNanos = clock.nanos();
  }

  /** Counts pieces that have just arrived. */
  void arrived(int priority, int pieces) {
    fade();
    sums[Math.max(0, Math.min(priority, sums.length - 1))] += pieces;
  }

  /** Returns how many pieces arrive in a second that are more urgent than a priority. */
  double perSecondBefore(int priority) {
    fade();
    double sum = 0;
    for (int level = 0; level < Math.min(priority, sums.length); level++) {
      sum += sums[level];
    }
    return sum / FADING_SECONDS;
  }

  private void fade() {
    long now = clock.nanos();
    double kept = Math.exp((fadedNanos - now) / (FADING_SECONDS * NANOS_OF_SECOND));
    fadedNanos = now;
    for (int level = 0; level < sums.length; level++) {
      sums[level] *= kept;
    }
  }
}
