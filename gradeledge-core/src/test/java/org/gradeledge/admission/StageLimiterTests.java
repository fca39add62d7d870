package org.gradeledge.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.time.Deadline;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

class StageLimiterTests {

  private static final Duration LONG_TIMEOUT = Duration.ofMinutes(5);
  private static final int MANY_CALLS = 5_000;

  private final StageLatencies latencies = new StageLatencies(MonotonicClock.system());
  private final StageLimiter limiter = new StageLimiter("rank", 1, latencies);
  private final List<String> started = new ArrayList<>();
  private final List<Runnable> releases = new ArrayList<>();
  private final AtomicReference<Throwable> refusal = new AtomicReference<>();

  @Test
  void limitsTheCallsInFlight() {
    acquire("a", 5, 1);
    acquire("b", 5, 1);
    assertThat(started).containsExactly("a");
    releases.get(0).run();
    assertThat(started).containsExactly("a", "b");
  }

  @Test
  void aPermitIsReleasedOnce() {
    acquire("a", 5, 1);
    releases.get(0).run();
    releases.get(0).run();
    acquire("b", 5, 1);
    acquire("c", 5, 1);
    assertThat(started).containsExactly("a", "b");
  }

  @Test
  void startsCallsByWeightedFairQueueing() {
    acquire("first", 5, 1);
    for (int i = 0; i < 4; i++) {
      acquire("large", 5, 1);
    }
    acquire("small", 5, 1);
    acquire("heavy", 5, 4);
    acquire("heavy", 5, 4);
    acquire("urgent", 9, 1);
    drain();
    assertThat(started)
        .containsExactly(
            "first", "heavy", "heavy", "urgent", "large", "small", "large", "large", "large");
  }

  @Test
  void refusesACallThatCannotMeetItsDeadline() {
    limiter
        .acquire(ticket("a", 5, 1, Duration.ofMillis(5), Duration.ofMillis(10)))
        .subscribe(releases::add, refusal::set);
    assertThat(refusal.get())
        .isInstanceOfSatisfying(
            RefusalException.class,
            e -> {
              assertThat(e.reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
              assertThat(e.retryAfter()).isPresent();
            });
  }

  @Test
  void refusesACallIfTheExpectedWaitExceedsItsDeadline() {
    for (int i = 0; i < 10; i++) {
      latencies.record(Duration.ofSeconds(1).toNanos());
    }
    acquire("a", 5, 1);
    limiter
        .acquire(ticket("b", 5, 1, Duration.ofMillis(500), Duration.ZERO))
        .subscribe(releases::add, refusal::set);
    assertThat(refusal.get()).isInstanceOf(RefusalException.class);
  }

  @Test
  void aCancelledCallIsRemovedFromTheQueue() {
    acquire("a", 5, 1);
    Disposable cancelled = acquire("b", 5, 1);
    acquire("c", 5, 1);
    cancelled.dispose();
    releases.get(0).run();
    assertThat(started).containsExactly("a", "c");
    assertThat(limiter.queueLength()).isZero();
  }

  @Test
  void refusesAllCallsOfALongExpiredQueueAtOnce() {
    AtomicLong nanos = new AtomicLong();
    Runnable[] lastRelease = new Runnable[1];
    AtomicInteger refusedCalls = new AtomicInteger();
    AccountDefinition account = new AccountDefinition("a", "0".repeat(64), 5, 1, 2_000, 10);
    for (int i = 0; i <= MANY_CALLS; i++) {
      Deadline deadline = Deadline.after(nanos::get, LONG_TIMEOUT);
      limiter
          .acquire(new StageTicket(account, deadline, Duration.ZERO))
          .subscribe(release -> lastRelease[0] = release, e -> refusedCalls.incrementAndGet());
    }
    nanos.set(LONG_TIMEOUT.toNanos());
    lastRelease[0].run();
    assertThat(refusedCalls).hasValue(MANY_CALLS);
  }

  private void drain() {
    for (int i = 0; i < releases.size(); i++) {
      releases.get(i).run();
    }
  }

  private Disposable acquire(String account, int priority, int weight) {
    return limiter
        .acquire(ticket(account, priority, weight, LONG_TIMEOUT, Duration.ZERO))
        .subscribe(
            release -> {
              started.add(account);
              releases.add(release);
            },
            refusal::set);
  }

  private static StageTicket ticket(
      String account, int priority, int weight, Duration timeLeft, Duration remaining) {
    AccountDefinition definition =
        new AccountDefinition(account, "0".repeat(64), priority, weight, 2_000, 10);
    return new StageTicket(
        definition, Deadline.after(MonotonicClock.system(), timeLeft), remaining);
  }
}
