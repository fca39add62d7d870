package org.gradeledge.admission;

/**
 * Limits extra attempts to a share of the first attempts, so that retries cannot amplify a failure.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class RetryTokenBucket {

  private static final double MAX_TOKENS = 20;

  private double tokens = MAX_TOKENS / 2;

  /** Adds a share of a token for a first attempt. */
  public synchronized void recordFirstAttempt(double share) {
    tokens = Math.min(MAX_TOKENS, tokens + share);
  }

  /** Takes a token for an extra attempt and returns whether one was available. */
  public synchronized boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
