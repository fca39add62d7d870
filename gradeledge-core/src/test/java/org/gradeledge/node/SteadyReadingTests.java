package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.ListTrust;
import org.junit.jupiter.api.Test;

class SteadyReadingTests {

  private long nowMillis = 5_000;
  private final SteadyReading reading =
      new SteadyReading(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis));

  @Test
  void whoReadsEachSecondIsTrustedAfterTwo() {
    assertThat(reading.trust()).isEqualTo(ListTrust.UNKNOWN);
    readAfter(0, 1_000);
    assertThat(reading.trust()).isEqualTo(ListTrust.UNKNOWN);

    readAfter(1_000);

    assertThat(reading.trust()).isEqualTo(ListTrust.TRUSTED);
  }

  @Test
  void whoReadsSeldomIsNeverTrusted() {
    for (int times = 0; times < 10; times++) {
      readAfter(10_000);
      assertThat(reading.trust()).isEqualTo(ListTrust.UNKNOWN);
    }
  }

  @Test
  void afterAGapItTakesTwoSecondsAgain() {
    readAfter(0, 1_000, 1_000, 3_000);
    assertThat(reading.trust()).isEqualTo(ListTrust.UNKNOWN);

    readAfter(1_000, 1_000);

    assertThat(reading.trust()).isEqualTo(ListTrust.TRUSTED);
  }

  /** A box that was suspended or frozen has not read meanwhile. */
  @Test
  void withoutAnAnswerForLongItIsNotTrusted() {
    readAfter(0, 1_000, 1_000);
    nowMillis += 2_501;

    assertThat(reading.trust()).isEqualTo(ListTrust.UNKNOWN);
  }

  private void readAfter(long... pauses) {
    for (long pause : pauses) {
      nowMillis += pause;
      reading.answered();
    }
  }
}
