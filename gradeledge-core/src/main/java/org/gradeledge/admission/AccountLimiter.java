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
  private final int mostAtATime;
  private double tokens;
  private long refilledNanos;
  private int running;

  /** Creates a limiter whose bucket is full. */
  public AccountLimiter(AccountDefinition account, int mostAtATime, MonotonicClock clock) {
    this.clock = clock;
    this.mostAtATime = mostAtATime;
    this.tokens = burst(account);
    this.refilledNanos = clock.nanos();
  }

  /** Takes one request in, or refuses it "not run"; {@link #leave} must follow. */
  public synchronized void enter(AccountDefinition account) {
    long now = clock.nanos();
    double earned = (now - refilledNanos) / 1e9 * account.requestsPerSecond();
    tokens = Math.min(burst(account), tokens + earned);
    refilledNanos = now;
    if (running >= mostAtATime) {
      throw refused("has " + running + " requests in progress", Duration.ofSeconds(1));
    }
    if (tokens < 1) {
      double seconds = (1 - tokens) / account.requestsPerSecond();
      throw refused("is above its rate", Duration.ofNanos((long) (seconds * 1e9)));
    }
    tokens--;
    running++;
  }

  /** Notes that a request that entered has ended. */
  public synchronized void leave() {
    running--;
  }

  private static double burst(AccountDefinition account) {
    return Math.max(1, account.requestsPerSecond());
  }

  private static RefusalException refused(String what, Duration retryAfter) {
    return RefusalException.forReason(RefusalReason.ACCOUNT_LIMIT)
        .detail("the client account " + what)
        .retryAfter(retryAfter)
        .build();
  }
}
