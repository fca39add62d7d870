package org.gradeledge.admission;

/**
 * Allows extra attempts as a share of first ones, so that retries cannot multiply a fault.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class RetryTokenBucket {

  private static final double MAX_TOKENS = 20;

  private double tokens = MAX_TOKENS / 2;

  /** Earns a share of an extra attempt. */
  public synchronized void recordFirstAttempt(double share) {
    tokens = Math.min(MAX_TOKENS, tokens + share);
  }

  /** Returns whether one extra attempt may be made, and takes it off the budget. */
  public synchronized boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
