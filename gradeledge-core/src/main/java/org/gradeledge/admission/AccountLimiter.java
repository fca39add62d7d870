package org.gradeledge.admission;

import java.time.Duration;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;

/**
 * Keeps one client account to its rate, by a token bucket of one second's worth, and to a bound of
 * requests at a time. Thread-safe.
 *
 * @since 0.1
 */
public final class AccountLimiter {

  private final MonotonicClock clock;
  private final int maxInFlight;
  private double tokens;
  private long refilledNanos;
  private int inFlight;

  /** Creates a limiter whose bucket is full. */
  public AccountLimiter(AccountDefinition account, int mostAtATime, MonotonicClock clock) {
    this.clock = clock;
    this.maxInFlight = mostAtATime;
    this.tokens = burst(account);
    this.refilledNanos = clock.nanos();
  }

  /** Takes one request in, or refuses it "not run"; {@link #release} must follow. */
  public synchronized void acquire(AccountDefinition account) {
    long now = clock.nanos();
    double earned = (now - refilledNanos) / 1e9 * account.requestsPerSecond();
    tokens = Math.min(burst(account), tokens + earned);
    refilledNanos = now;
    if (inFlight >= maxInFlight) {
      throw refusal("has " + inFlight + " requests in progress", Duration.ofSeconds(1));
    }
    if (tokens < 1) {
      double seconds = (1 - tokens) / account.requestsPerSecond();
      throw refusal("is above its rate", Duration.ofNanos((long) (seconds * 1e9)));
    }
    tokens--;
    inFlight++;
  }

  /** Notes that a request that entered has ended. */
  public synchronized void release() {
    inFlight--;
  }

  private static double burst(AccountDefinition account) {
    return Math.max(1, account.requestsPerSecond());
  }

  private static RefusalException refusal(String what, Duration retryAfter) {
    return RefusalException.forReason(RefusalReason.ACCOUNT_LIMIT)
        .detail("the client account " + what)
        .retryAfter(retryAfter)
        .build();
  }
}
