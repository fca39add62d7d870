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
  private static final double NANOS_OF_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double MILLIS_OF_SECOND = 1e3;

  private double perSecond;
  private double level;
  private long filledNanos;

  /** Creates a bucket with a level; it does not fill before it is told a rate. */
  public TokenBucket(double level, long nowNanos) {
    this.level = level;
    this.filledNanos = nowNanos;
  }

  /** Fills it by the time that has passed, and takes on its rate from now on, within a depth. */
  public void fill(double newPerSecond, double depth, long nowNanos) {
    double seconds = Math.max(0, nowNanos - filledNanos) / NANOS_OF_SECOND;
    perSecond = newPerSecond;
    level = Math.min(depth, level + perSecond * seconds);
    filledNanos = nowNanos;
  }

  /** Lets time pass in which it does not fill. */
  public void rest(long nowNanos) {
    filledNanos = nowNanos;
  }

  /** Returns whether there is a token. */
  public boolean hasToken() {
    return level >= TOKEN;
  }

  /** Takes a token, also where there is none: what was sent all the same is made up for later. */
  public void take() {
    level -= TOKEN;
  }

  /** Returns after how many milliseconds there is a token behind so many that others take. */
  public double millisUntilToken(double takenBefore) {
    double missing = TOKEN + takenBefore - level;
    return missing <= 0 ? 0 : missing / perSecond * MILLIS_OF_SECOND;
  }
}
