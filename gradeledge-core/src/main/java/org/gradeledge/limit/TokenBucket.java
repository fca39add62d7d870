package org.gradeledge.limit;

import java.util.concurrent.TimeUnit;

/**
 * A bucket of tokens, one for each request that may be sent: it fills at a steady rate and holds no
 * more than its depth. Confined to the event loop.
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

  /** Creates a bucket with a level; it does not fill before it is told a rate. */
  public TokenBucket(double level, long nowNanos) {
    this.tokens = level;
    this.refilledNanos = nowNanos;
  }

  /** Fills it by the time that has passed, and takes on its rate from now on, within a depth. */
  public void refill(double newPerSecond, double depth, long nowNanos) {
    double seconds = Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND;
    tokensPerSecond = newPerSecond;
    tokens = Math.min(depth, tokens + tokensPerSecond * seconds);
    refilledNanos = nowNanos;
  }

  /** Lets time pass in which it does not fill. */
  public void skipRefill(long nowNanos) {
    refilledNanos = nowNanos;
  }

  /** Returns whether there is a token. */
  public boolean hasToken() {
    return tokens >= TOKEN;
  }

  /** Takes a token, also where there is none: what was sent all the same is made up for later. */
  public void take() {
    tokens -= TOKEN;
  }

  /** Returns after how many milliseconds there is a token behind so many that others take. */
  public double millisUntilToken(double takenBefore) {
    double missing = TOKEN + takenBefore - tokens;
    return missing <= 0 ? 0 : missing / tokensPerSecond * MILLIS_PER_SECOND;
  }
}
