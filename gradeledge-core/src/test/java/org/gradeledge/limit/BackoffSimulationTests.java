package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.gradeledge.limit.BackoffSimulation.Strategy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares ways to apply requested backoffs with many boxes in virtual time. */
class BackoffSimulationTests {

  private static final Duration BACKOFF = Duration.ofSeconds(3);
  private static final Duration DURATION = Duration.ofMinutes(1);
  private static final Duration RAMP_UP = Duration.ofSeconds(3);

  @ParameterizedTest
  @CsvSource({"8, 0.5, 1", "8, 0.5, 2", "8, 0.2, 2", "61, 0.5, 0.3", "530, 0.5, 0.05"})
  void servesMoreWhenEachBoxAppliesOnlyItsOwnBackoff(
      int boxes, double rejectedFraction, double attemptsPerSecond) {
    BackoffSimulation perBox = new BackoffSimulation(Strategy.ALONE, boxes, BACKOFF, 1);
    BackoffSimulation allBoxes = new BackoffSimulation(Strategy.TOGETHER, boxes, BACKOFF, 1);

    perBox.runWithRejections(DURATION, attemptsPerSecond, rejectedFraction);
    allBoxes.runWithRejections(DURATION, attemptsPerSecond, rejectedFraction);

    print("rejections", boxes, rejectedFraction, perBox, allBoxes);
    assertThat(perBox.served()).isGreaterThan(allBoxes.served());
  }

  @ParameterizedTest
  @CsvSource({"8, 10, 40", "8, 3, 40", "61, 2, 40", "530, 1, 200"})
  void rampUpReducesRejectionsAfterBackoff(int boxes, int waiting, double capacityPerSecond) {
    BackoffSimulation withRampUp = new BackoffSimulation(Strategy.ALONE, boxes, BACKOFF, 1);
    BackoffSimulation withoutRampUp =
        new BackoffSimulation(Strategy.ALL_AT_ONCE, boxes, BACKOFF, 1);

    withRampUp.runAfterBackoff(RAMP_UP, waiting, capacityPerSecond);
    withoutRampUp.runAfterBackoff(RAMP_UP, waiting, capacityPerSecond);

    print("after backoff", boxes, waiting, withRampUp, withoutRampUp);
    assertThat(withRampUp.rejected()).isLessThanOrEqualTo(withoutRampUp.rejected());
    assertThat(withRampUp.served()).isGreaterThanOrEqualTo(withoutRampUp.served());
  }

  private static void print(
      String scenario,
      int boxes,
      double parameter,
      BackoffSimulation current,
      BackoffSimulation alternative) {
    System.out.printf(
        "%s: %d boxes, %.1f: served %d and %d, rejected %d and %d%n",
        scenario,
        boxes,
        parameter,
        current.served(),
        alternative.served(),
        current.rejected(),
        alternative.rejected());
  }
}
