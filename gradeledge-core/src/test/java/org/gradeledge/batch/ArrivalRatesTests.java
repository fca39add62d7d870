package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.atomic.AtomicLong;
import org.gradeledge.deployment.Urgency;
import org.junit.jupiter.api.Test;

class ArrivalRatesTests {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final AtomicLong nanos = new AtomicLong();
  private final ArrivalRates rates = new ArrivalRates(nanos::get);

  @Test
  void reportsTheRateOfASteadyStream() {
    arrive(0, 400, 25);

    assertThat(rates.ratePerSecond(0)).isCloseTo(40, within(1.0));
  }

  @Test
  void countsEachPriorityOnItsOwn() {
    arrive(1, 400, 25);

    assertThat(rates.ratePerSecond(0)).isZero();
    assertThat(rates.ratePerSecond(1)).isCloseTo(40, within(1.0));
    assertThat(rates.ratePerSecond(2)).isZero();
  }

  @Test
  void rateDecaysWithinSecondsOfTheLastArrival() {
    arrive(0, 400, 25);
    nanos.addAndGet(10_000 * NANOS_PER_MILLI);

    assertThat(rates.ratePerSecond(0)).isLessThan(1);
  }

  @Test
  void outOfRangePrioritiesCountAsTheLastLevel() {
    arrive(99, 10, 25);

    assertThat(rates.ratePerSecond(Urgency.LEVELS - 1)).isPositive();
  }

  @Test
  void reportsTheMeanDueTimeOfEachPriority() {
    rates.recordArrivals(1, 3, 1_000);
    rates.recordArrivals(1, 1, 2_000);

    assertThat(rates.meanDueMillis(1, 5)).isCloseTo(1_250, within(1e-6));
    assertThat(rates.meanDueMillis(0, 5)).isEqualTo(5);
  }

  private void arrive(int priority, int times, long gapMillis) {
    for (int i = 0; i < times; i++) {
      rates.recordArrivals(priority, 1, 1_000);
      nanos.addAndGet(gapMillis * NANOS_PER_MILLI);
    }
  }
}
