package org.gradeledge.time;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FadingAverageTests {

  private static final double DEFAULT = 10;

  private long nowMillis;
  private final FadingAverage average =
      new FadingAverage(
          () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
          0.5,
          Duration.ofSeconds(2),
          Duration.ofSeconds(1));

  @Test
  void hasDefaultValueWithoutObservations() {
    assertThat(average.value(DEFAULT)).isEqualTo(DEFAULT);
    assertThat(average.latest()).isEmpty();
  }

  @Test
  void countsTheFirstObservationInFull() {
    average.observe(90, DEFAULT);
    assertThat(average.value(DEFAULT)).isEqualTo(90);

    average.observe(10, DEFAULT);
    assertThat(average.value(DEFAULT)).isEqualTo(50);
  }

  @Test
  void fadesToTheDefaultValueOnceItIsNoLongerTrusted() {
    average.observe(90, DEFAULT);
    nowMillis = 2_000;
    assertThat(average.value(DEFAULT)).isEqualTo(90);

    nowMillis = 3_000;
    assertThat(average.value(DEFAULT)).isCloseTo(50, within(1e-9));

    nowMillis = 60_000;
    assertThat(average.value(DEFAULT)).isCloseTo(DEFAULT, within(1e-9));
  }

  @Test
  void countsOlderObservationsAsFarAsTheyHaveNotFaded() {
    average.observe(90, DEFAULT);
    nowMillis = 3_000;

    average.observe(50, DEFAULT);

    assertThat(average.value(DEFAULT)).isCloseTo(50, within(1e-9));
  }
}
