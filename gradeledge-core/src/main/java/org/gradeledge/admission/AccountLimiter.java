package org.gradeledge.admission;

import java.time.Duration;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;

/**
 * Limits the request rate of one client account with a token bucket of one second, and its number
 * of concurrent requests. Thread-safe.
 *
 * @since 0.1
 */
public final class AccountLimiter {

  private final MonotonicClock clock;
  private final int maxInFlight;
  private double tokens;
  private long refilledNanos;
  private int inFlight;

  /** Creates a limiter with a full token bucket. */
  public AccountLimiter(AccountDefinition account, int maxInFlight, MonotonicClock clock) {
    this.clock = clock;
    this.maxInFlight = maxInFlight;
    this.tokens = burst(account);
    this.refilledNanos = clock.nanos();
  }

  /**
   * Admits a request, which must be followed by {@link #release}.
   *
   * @throws RefusalException if the account is above a limit; the request was not run
   */
  public synchronized void acquire(AccountDefinition account) {
    long now = clock.nanos();
    double refill = (now - refilledNanos) / 1e9 * account.requestsPerSecond();
    tokens = Math.min(burst(account), tokens + refill);
    refilledNanos = now;
    if (inFlight >= maxInFlight) {
      throw refusal("has " + inFlight + " requests in progress", Duration.ofSeconds(1));
    }
    if (tokens < 1) {
      double waitSeconds = (1 - tokens) / account.requestsPerSecond();
      throw refusal("is above its rate", Duration.ofNanos((long) (waitSeconds * 1e9)));
    }
    tokens--;
    inFlight++;
  }

  /** Releases an admitted request that has ended. */
  public synchronized void release() {
    inFlight--;
  }

  private static double burst(AccountDefinition account) {
    return Math.max(1, account.requestsPerSecond());
  }

  private static RefusalException refusal(String reason, Duration retryAfter) {
    return RefusalException.forReason(RefusalReason.ACCOUNT_LIMIT)
        .detail("the client account " + reason)
        .retryAfter(retryAfter)
        .build();
  }
}
