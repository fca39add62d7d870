package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.gradeledge.limit.BackoffSimulation.Strategy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Ways to heed upstreams that ask for time without requests, many boxes in virtual time. */
class BackoffSimulationTests {

  private static final Duration BACKOFF = Duration.ofSeconds(3);
  private static final Duration DURATION = Duration.ofMinutes(1);
  private static final Duration RAMP_UP = Duration.ofSeconds(3);

  @ParameterizedTest
  @CsvSource({"8, 0.5, 1", "8, 0.5, 2", "8, 0.2, 2", "61, 0.5, 0.3", "530, 0.5, 0.05"})
  void servesMoreWhenEachBoxAppliesOnlyItsOwnBackoff(
      int boxes, double partTurnedAway, double wantedPerSecond) {
    BackoffSimulation alone = new BackoffSimulation(Strategy.ALONE, boxes, BACKOFF, 1);
    BackoffSimulation together = new BackoffSimulation(Strategy.TOGETHER, boxes, BACKOFF, 1);

    alone.runWithRejections(DURATION, wantedPerSecond, partTurnedAway);
    together.runWithRejections(DURATION, wantedPerSecond, partTurnedAway);

    print("part", boxes, partTurnedAway, alone, together);
    assertThat(alone.served()).isGreaterThan(together.served());
  }

  @ParameterizedTest
  @CsvSource({"8, 10, 40", "8, 3, 40", "61, 2, 40", "530, 1, 200"})
  void rampUpReducesRejectionsAfterBackoff(int boxes, int waiting, double bornePerSecond) {
    BackoffSimulation paced = new BackoffSimulation(Strategy.ALONE, boxes, BACKOFF, 1);
    BackoffSimulation atOnce = new BackoffSimulation(Strategy.ALL_AT_ONCE, boxes, BACKOFF, 1);

    paced.runAfterBackoff(RAMP_UP, waiting, bornePerSecond);
    atOnce.runAfterBackoff(RAMP_UP, waiting, bornePerSecond);

    print("return", boxes, waiting, paced, atOnce);
    assertThat(paced.rejected()).isLessThanOrEqualTo(atOnce.rejected());
    assertThat(paced.served()).isGreaterThanOrEqualTo(atOnce.served());
  }

  private static void print(
      String what, int boxes, double figure, BackoffSimulation kept, BackoffSimulation other) {
    System.out.printf(
        "%s: %d boxes, %.1f: served %d and %d, turned away %d and %d%n",
        what, boxes, figure, kept.served(), other.served(), kept.rejected(), other.rejected());
  }
}
