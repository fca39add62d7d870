package org.gradeledge.limit;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket with one token per request. Confined to the event loop.
 *
 * @since 0.4
 */
public final class TokenBucket {

  private static final double TOKEN = 1;
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double MILLIS_PER_SECOND = 1e3;

  private double tokensPerSecond;
  private double tokens;
  private long refilledNanos;

  /** Creates a bucket with the given number of tokens; it is not refilled before a rate is set. */
  public TokenBucket(double tokens, long nowNanos) {
    this.tokens = tokens;
    this.refilledNanos = nowNanos;
  }

  /** Sets the rate and adds the tokens since the last refill, up to the capacity. */
  public void refill(double newTokensPerSecond, double capacity, long nowNanos) {
    double seconds = Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND;
    tokensPerSecond = newTokensPerSecond;
    tokens = Math.min(capacity, tokens + tokensPerSecond * seconds);
    refilledNanos = nowNanos;
  }

  /** Skips the refill for the time since the last one. */
  public void skipRefill(long nowNanos) {
    refilledNanos = nowNanos;
  }

  /** Returns whether a token is available. */
  public boolean hasToken() {
    return tokens >= TOKEN;
  }

  /** Takes a token; if none is available, the deficit delays later requests. */
  public void take() {
    tokens -= TOKEN;
  }

  /**
   * Returns the time in milliseconds until a token is available after the given number of earlier
   * requests.
   */
  public double millisUntilToken(double takenBefore) {
    double missing = TOKEN + takenBefore - tokens;
    return missing <= 0 ? 0 : missing / tokensPerSecond * MILLIS_PER_SECOND;
  }
}
