package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ArrivalRatesTests {

  private static final long NANOS_OF_MILLI = 1_000_000;

  private final AtomicLong nanos = new AtomicLong();
  private final ArrivalRates rates = new ArrivalRates(nanos::get);

  @Test
  void aSteadyStreamIsToldAsItsRate() {
    arrive(0, 400, 25);

    assertThat(rates.ratePerSecondAbove(1)).isCloseTo(40, within(1.0));
  }

  @Test
  void onlyWhatIsMoreUrgentCounts() {
    arrive(1, 400, 25);

    assertThat(rates.ratePerSecondAbove(1)).isZero();
    assertThat(rates.ratePerSecondAbove(2)).isPositive();
  }

  @Test
  void aRateFadesWithinSecondsOfTheLastArrival() {
    arrive(0, 400, 25);
    nanos.addAndGet(10_000 * NANOS_OF_MILLI);

    assertThat(rates.ratePerSecondAbove(1)).isLessThan(1);
  }

  @Test
  void prioritiesBeyondTheLastCountAsTheLast() {
    arrive(99, 10, 25);

    assertThat(rates.ratePerSecondAbove(100)).isPositive();
  }

  private void arrive(int priority, int times, long gapMillis) {
    for (int i = 0; i < times; i++) {
      rates.recordArrivals(priority, 1);
      nanos.addAndGet(gapMillis * NANOS_OF_MILLI);
    }
  }
}
