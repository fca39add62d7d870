package org.gradeledge.admission;

/**
 * Allows extra attempts as a share of first ones, so that retries cannot multiply a fault.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class RetryBudget {

  private static final double MOST_SAVED = 20;

  private double saved = MOST_SAVED / 2;

  /** Earns a share of an extra attempt. */
  public synchronized void firstAttempt(double share) {
    saved = Math.min(MOST_SAVED, saved + share);
  }

  /** Returns whether one extra attempt may be made, and takes it off the budget. */
  public synchronized boolean takeExtra() {
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }
}
