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

  private static final Duration LONG = Duration.ofMinutes(5);
  private static final int LONG_QUEUE = 5_000;

  private final StageLatencies times = new StageLatencies(MonotonicClock.system());
  private final StageLimiter limiter = new StageLimiter("rank", 1, times);
  private final List<String> started = new ArrayList<>();
  private final List<Runnable> releases = new ArrayList<>();
  private final AtomicReference<Throwable> refused = new AtomicReference<>();

  @Test
  void letsNoMoreInThanTheLimit() {
    enter("a", 5, 1);
    enter("b", 5, 1);
    assertThat(started).containsExactly("a");
    releases.get(0).run();
    assertThat(started).containsExactly("a", "b");
  }

  @Test
  void aReleaseCountsOnce() {
    enter("a", 5, 1);
    releases.get(0).run();
    releases.get(0).run();
    enter("b", 5, 1);
    enter("c", 5, 1);
    assertThat(started).containsExactly("a", "b");
  }

  @Test
  void startsFairlyByWeightAndPrioritySoThatAFloodWaitsBehindItself() {
    enter("first", 5, 1);
    for (int i = 0; i < 4; i++) {
      enter("large", 5, 1);
    }
    enter("small", 5, 1);
    enter("heavy", 5, 4);
    enter("heavy", 5, 4);
    enter("urgent", 9, 1);
    drain();
    assertThat(started)
        .containsExactly(
            "first", "heavy", "heavy", "urgent", "large", "small", "large", "large", "large");
  }

  @Test
  void refusesAtOnceWhatCannotMakeItsDeadline() {
    limiter
        .acquire(ticket("a", 5, 1, Duration.ofMillis(5), Duration.ofMillis(10)))
        .subscribe(releases::add, refused::set);
    assertThat(refused.get())
        .isInstanceOfSatisfying(
            RefusalException.class,
            e -> {
              assertThat(e.reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
              assertThat(e.retryAfter()).isPresent();
            });
  }

  @Test
  void refusesAtOnceWhereTheQueueAheadTakesLongerThanThereIs() {
    for (int i = 0; i < 10; i++) {
      times.record(Duration.ofSeconds(1).toNanos());
    }
    enter("a", 5, 1);
    limiter
        .acquire(ticket("b", 5, 1, Duration.ofMillis(500), Duration.ZERO))
        .subscribe(releases::add, refused::set);
    assertThat(refused.get()).isInstanceOf(RefusalException.class);
  }

  @Test
  void givesThePlaceOfWhoeverLeavesToTheNext() {
    enter("a", 5, 1);
    Disposable leaving = enter("b", 5, 1);
    enter("c", 5, 1);
    leaving.dispose();
    releases.get(0).run();
    assertThat(started).containsExactly("a", "c");
    assertThat(limiter.queueLength()).isZero();
  }

  @Test
  void refusesALongQueueThatHasBecomeTooLateInOneGo() {
    AtomicLong nanos = new AtomicLong();
    Runnable[] first = new Runnable[1];
    AtomicInteger tooLate = new AtomicInteger();
    AccountDefinition account = new AccountDefinition("a", "0".repeat(64), 5, 1, 2_000, 10);
    for (int i = 0; i <= LONG_QUEUE; i++) {
      Deadline deadline = Deadline.after(nanos::get, LONG);
      limiter
          .acquire(new StageTicket(account, deadline, Duration.ZERO))
          .subscribe(release -> first[0] = release, e -> tooLate.incrementAndGet());
    }
    nanos.set(LONG.toNanos());
    first[0].run();
    assertThat(tooLate).hasValue(LONG_QUEUE);
  }

  private void drain() {
    for (int i = 0; i < releases.size(); i++) {
      releases.get(i).run();
    }
  }

  private Disposable enter(String account, int priority, int weight) {
    return limiter
        .acquire(ticket(account, priority, weight, LONG, Duration.ZERO))
        .subscribe(
            release -> {
              started.add(account);
              releases.add(release);
            },
            refused::set);
  }

  private static StageTicket ticket(
      String account, int priority, int weight, Duration left, Duration remaining) {
    AccountDefinition definition =
        new AccountDefinition(account, "0".repeat(64), priority, weight, 2_000, 10);
    return new StageTicket(definition, Deadline.after(MonotonicClock.system(), left), remaining);
  }
}
