package org.gradeledge.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RetryBudgetTests {

  private final AtomicLong nanos = new AtomicLong();
  private final AtomicInteger boxes = new AtomicInteger(5);
  private final RetryBudget budget =
      new RetryBudget(nanos::get, 0.2, 50, Duration.ofSeconds(10), boxes::get);

  @Test
  void allBoxesTogetherStayWithinTheAllowance() {
    long spent = spendAll("a");

    assertThat(spent * boxes.get()).isLessThanOrEqualTo(50).isPositive();
  }

  @Test
  void requestsTakenAllowMore() {
    long without = spendAll("a");
    IntStream.range(0, 100).forEach(i -> budget.recordRequest("b"));

    assertThat(spendAll("b")).isGreaterThan(without).isLessThanOrEqualTo(without + 20);
  }

  @Test
  void whatWasSpentCountsForAWholeWindow() {
    spendAll("a");
    nanos.addAndGet(Duration.ofSeconds(8).toNanos());
    assertThat(budget.trySpend("a")).isFalse();

    nanos.addAndGet(Duration.ofSeconds(3).toNanos());
    assertThat(budget.trySpend("a")).isTrue();
  }

  @Test
  void aCountThatDoesNotFitIsNotSpentInPart() {
    assertThat(budget.trySpend("a", 1_000)).isFalse();
    assertThat(budget.trySpend("a", 1)).isTrue();
  }

  private long spendAll(String service) {
    return IntStream.range(0, 1_000).filter(i -> budget.trySpend(service)).count();
  }
}
