package org.gradeledge.admission;

/**
 * How many calls of a stage may be in progress, found from how long they take.
 *
 * <p>While calls take no longer than a tolerance over the fastest window lately, the limit grows by
 * about its square root; once they take longer they wait at the upstreams, and the limit shrinks in
 * proportion. Waiting is better done here, where it is ordered by share. Not thread-safe.
 */
final class AdaptiveLimit {

  private static final int WINDOW = 20;
  private static final int WINDOWS_REMEMBERED = 100;
  private static final double TOLERANCE = 2.0;
  private static final double LEAST_GRADIENT = 0.5;
  private static final int LEAST = 4;
  private static final double SMOOTHING = 0.5;

  private final double[] windowNanos = new double[WINDOWS_REMEMBERED];
  private int windows;
  private int most;
  private double limit;
  private double sumNanos;
  private int calls;

  AdaptiveLimit(int most) {
    this.most = most;
    this.limit = most;
  }

  int current() {
    return Math.max(1, (int) Math.min(limit, most));
  }

  void setMost(int value) {
    if (value != most) {
      most = value;
      limit = value;
    }
  }

  /** Takes in the time of a completed call. */
  void record(long nanos) {
    sumNanos += nanos;
    calls++;
    if (calls >= WINDOW) {
      endWindow(sumNanos / calls);
      sumNanos = 0;
      calls = 0;
    }
  }

  private void endWindow(double meanNanos) {
    windowNanos[windows++ % WINDOWS_REMEMBERED] = meanNanos;
    double fastest = Double.MAX_VALUE;
    for (int i = 0; i < Math.min(windows, WINDOWS_REMEMBERED); i++) {
      fastest = Math.min(fastest, windowNanos[i]);
    }
    double gradient = Math.max(LEAST_GRADIENT, Math.min(1, TOLERANCE * fastest / meanNanos));
    double next = gradient * limit + Math.sqrt(limit);
    double smoothed = limit + SMOOTHING * (next - limit);
    limit = Math.min(most, Math.max(LEAST, smoothed));
  }
}
