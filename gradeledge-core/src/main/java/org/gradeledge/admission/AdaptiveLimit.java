package org.gradeledge.admission;

/**
 * How many calls of a stage may be in progress, found from how long they take.
 *
 * <p>While calls take no longer than a tolerance over the fastest window lately, the limit grows by
 * about its square root; once they take longer they wait at the upstreams, and the limit shrinks in
 * proportion. Waiting is better done here, where it is ordered by share. Not thread-safe.
 */
final class AdaptiveLimit {

  private static final int CALLS_PER_WINDOW = 20;
  private static final int RETAINED_WINDOWS = 100;
  private static final double TOLERANCE = 2.0;
  private static final double MIN_GRADIENT = 0.5;
  private static final int MIN_LIMIT = 4;
  private static final double SMOOTHING_FACTOR = 0.5;

  private final double[] windowMeanNanos = new double[RETAINED_WINDOWS];
  private int windowCount;
  private int maxLimit;
  private double limit;
  private double sumNanos;
  private int callCount;

  AdaptiveLimit(int most) {
    this.maxLimit = most;
    this.limit = most;
  }

  int current() {
    return Math.max(1, (int) Math.min(limit, maxLimit));
  }

  void setMaxLimit(int value) {
    if (value != maxLimit) {
      maxLimit = value;
      limit = value;
    }
  }

  /** Takes in the time of a completed call. */
  void record(long nanos) {
    sumNanos += nanos;
    callCount++;
    if (callCount >= CALLS_PER_WINDOW) {
      closeWindow(sumNanos / callCount);
      sumNanos = 0;
      callCount = 0;
    }
  }

  private void closeWindow(double meanNanos) {
    windowMeanNanos[windowCount++ % RETAINED_WINDOWS] = meanNanos;
    double fastest = Double.MAX_VALUE;
    for (int i = 0; i < Math.min(windowCount, RETAINED_WINDOWS); i++) {
      fastest = Math.min(fastest, windowMeanNanos[i]);
    }
    double gradient = Math.max(MIN_GRADIENT, Math.min(1, TOLERANCE * fastest / meanNanos));
    double next = gradient * limit + Math.sqrt(limit);
    double smoothed = limit + SMOOTHING_FACTOR * (next - limit);
    limit = Math.min(maxLimit, Math.max(MIN_LIMIT, smoothed));
  }
}
