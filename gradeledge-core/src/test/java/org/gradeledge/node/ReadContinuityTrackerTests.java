package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.ListTrust;
import org.junit.jupiter.api.Test;

class ReadContinuityTrackerTests {

  private long nowMillis = 5_000;
  private final ReadContinuityTracker tracker =
      new ReadContinuityTracker(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis));

  @Test
  void trustsAfterTwoSecondsOfReadsEverySecond() {
    assertThat(tracker.trust()).isEqualTo(ListTrust.UNKNOWN);
    readAfter(0, 1_000);
    assertThat(tracker.trust()).isEqualTo(ListTrust.UNKNOWN);

    readAfter(1_000);

    assertThat(tracker.trust()).isEqualTo(ListTrust.TRUSTED);
  }

  @Test
  void neverTrustsInfrequentReads() {
    for (int times = 0; times < 10; times++) {
      readAfter(10_000);
      assertThat(tracker.trust()).isEqualTo(ListTrust.UNKNOWN);
    }
  }

  @Test
  void requiresTwoSecondsAgainAfterGap() {
    readAfter(0, 1_000, 1_000, 3_000);
    assertThat(tracker.trust()).isEqualTo(ListTrust.UNKNOWN);

    readAfter(1_000, 1_000);

    assertThat(tracker.trust()).isEqualTo(ListTrust.TRUSTED);
  }

  /** A box that was suspended or frozen has not read meanwhile. */
  @Test
  void doesNotTrustWithoutRecentAnswer() {
    readAfter(0, 1_000, 1_000);
    nowMillis += 2_501;

    assertThat(tracker.trust()).isEqualTo(ListTrust.UNKNOWN);
  }

  private void readAfter(long... pauses) {
    for (long pause : pauses) {
      nowMillis += pause;
      tracker.recordAnswer();
    }
  }
}
