package org.gradeledge.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class WindowedMaximumTests {

  private long nowNanos;
  private final WindowedMaximum maximum =
      new WindowedMaximum(() -> nowNanos, Duration.ofSeconds(10));

  @Test
  void returnsLargestObservationOfAtLeastOneWindow() {
    assertThat(maximum.value()).isEmpty();
    maximum.observe(5);
    advanceSeconds(9);
    maximum.observe(3);
    advanceSeconds(9);

    assertThat(maximum.value()).hasValue(5);
  }

  @Test
  void forgetsObservationsAfterTwoWindows() {
    maximum.observe(5);
    advanceSeconds(11);
    maximum.observe(3);
    advanceSeconds(11);
    assertThat(maximum.value()).hasValue(3);
    advanceSeconds(21);

    assertThat(maximum.value()).isEmpty();
  }

  private void advanceSeconds(int seconds) {
    nowNanos += Duration.ofSeconds(seconds).toNanos();
  }
}
