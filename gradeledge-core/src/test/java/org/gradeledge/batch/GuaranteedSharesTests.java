package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class GuaranteedSharesTests {

  private static final double THROUGHPUT = 100;

  private final AtomicLong nowMillis = new AtomicLong();
  private final GuaranteedShares guarantees =
      new GuaranteedShares(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis.get()));

  @Test
  void creditsATenthOfTheThroughput() {
    advance(500, 1);

    assertThat(guarantees.credit(3)).isCloseTo(5, within(0.2));
  }

  @Test
  void sharesABoundedPartAmongManyPriorities() {
    advance(500, 10);

    assertThat(guarantees.credit(3)).isCloseTo(0.025 * THROUGHPUT / 2, within(0.1));
  }

  @Test
  void anUnusedGuaranteeIsKeptForOneSecond() {
    advance(60_000, 1);

    assertThat(guarantees.credit(3)).isCloseTo(10, within(0.2));
  }

  // Guards against a priority that precedes others although it gets more than its guarantee.
  @Test
  void aPriorityThatIsProcessedAnywayHasNoCredit() {
    for (int second = 0; second < 10; second++) {
      advance(1_000, 1);
      start(3, 30, false);
    }

    assertThat(guarantees.credit(3)).isCloseTo(-10, within(1.0));
    assertThat(guarantees.credit(4)).isPositive();
  }

  // Guards against a large guaranteed group that is followed by the next one at once.
  @Test
  void aGuaranteedGroupIsChargedInFull() {
    advance(1_000, 1);
    start(3, 40, true);
    advance(1_000, 1);

    assertThat(guarantees.credit(3)).isCloseTo(-20, within(0.5));
  }

  private void advance(long millis, int activePriorities) {
    for (long step = 0; step < millis; step += 10) {
      guarantees.refill(THROUGHPUT, activePriorities);
      nowMillis.addAndGet(10);
    }
    guarantees.refill(THROUGHPUT, activePriorities);
  }

  private void start(int priority, int pieces, boolean guaranteed) {
    for (int piece = 0; piece < pieces; piece++) {
      guarantees.recordStarted(priority, guaranteed);
    }
  }
}
