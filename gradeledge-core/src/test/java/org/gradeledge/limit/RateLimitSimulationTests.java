package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.gradeledge.limit.RateLimitSimulation.Plan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Boxes that tell each other late keep to an upstream's limit together, and use it. */
class RateLimitSimulationTests {

  private static final long DURATION_MILLIS = 40_000;

  /** The rule holds from 3 s after the first answer that names a limit. */
  private static final long BOUND_APPLIES_FROM_MILLIS =
      RateLimitSimulation.LIMIT_ANNOUNCED_AT_MILLIS + 3_000;

  private static final double MIN_UTILIZATION = 0.7;

  @ParameterizedTest
  @CsvSource({"6, 1", "8, 1.3", "8, 5", "61, 1", "61, 20", "530, 1", "530, 40"})
  void usesMostOfLimitUnderLoad(int boxes, double limit) {
    RateLimitSimulation deployment = underLoad(boxes, limit, 1);

    deployment.run(DURATION_MILLIS);

    long used = deployment.arrivedBetween(15_000, DURATION_MILLIS);
    assertThat(deployment.maxRequestsInWindow(BOUND_APPLIES_FROM_MILLIS))
        .isLessThanOrEqualTo(maxAllowed(limit));
    assertThat(used / 25.0).isGreaterThanOrEqualTo(MIN_UTILIZATION * limit);
  }

  @Property(tries = 40, shrinking = ShrinkingMode.OFF)
  void staysWithinBoundWhileBoxesRestartFreezeAndJoin(
      @ForAll long seed,
      @ForAll @IntRange(min = 2, max = 61) int boxes,
      @ForAll @DoubleRange(min = 0.05, max = 30) double limit) {
    RateLimitSimulation deployment = underLoad(boxes, limit, seed);
    Random random = new Random(seed);

    for (int second = 0; second < 40; second++) {
      deployment.run(1_000);
      int box = random.nextInt(deployment.boxCount());
      switch (random.nextInt(8)) {
        case 0 -> deployment.restart(box, 2_000);
        case 1 -> deployment.freeze(box, 500 + random.nextInt(8_000));
        case 2 -> deployment.addBox();
        default -> {}
      }
    }

    assertThat(deployment.maxRequestsInWindow(BOUND_APPLIES_FROM_MILLIS))
        .isLessThanOrEqualTo(maxAllowed(limit));
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF)
  void staysWithinBoundWhenMessagesFromOneBoxAreLost(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 61) int boxes) {
    double limit = 1;
    RateLimitSimulation deployment = underLoad(boxes, limit, seed);
    deployment.run(5_000);

    deployment.dropMessagesFrom((int) Math.floorMod(seed, boxes));
    deployment.run(25_000);
    deployment.deliverAllMessages();
    deployment.run(10_000);

    assertThat(deployment.maxRequestsInWindow(BOUND_APPLIES_FROM_MILLIS))
        .isLessThanOrEqualTo(maxAllowed(limit));
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF)
  void liftsLimitOnAllBoxesWithinOneSecond(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 61) int boxes) {
    RateLimitSimulation deployment = underLoad(boxes, 2, seed);
    deployment.run(20_000);
    assertThat(deployment.boxesWithLimit()).isEqualTo(boxes);
    deployment.setLimit(-1);

    while (!deployment.isLiftConfirmed()) {
      deployment.run(10);
    }
    deployment.run(1_000);

    assertThat(deployment.boxesWithLimit()).isZero();
  }

  // Guards against a limit that an older word brings back, as later answers without it were
  // ignored.
  @Test
  void olderReportDoesNotRestoreLiftedLimit() {
    assertThat(
            LongStream.rangeClosed(-400, 400)
                .filter(seed -> boxesWithLimitAfterLifting(3, seed) > 0)
                .boxed()
                .toList())
        .isEmpty();
  }

  private static long boxesWithLimitAfterLifting(int boxes, long seed) {
    RateLimitSimulation deployment = underLoad(boxes, 2, seed);
    deployment.run(20_000);
    deployment.setLimit(-1);
    while (!deployment.isLiftConfirmed()) {
      deployment.run(10);
    }
    deployment.run(1_000);
    return deployment.boxesWithLimit();
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF)
  void appliesLimitAnnouncedAgain(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 61) int boxes) {
    double limit = 2;
    RateLimitSimulation deployment = underLoad(boxes, limit, seed);
    deployment.run(12_000);
    deployment.setLimit(-1);
    deployment.run(6_000);
    deployment.setLimit(limit);
    deployment.run(20_000);

    assertThat(deployment.maxRequestsInWindow(18_000 + 3_000))
        .isLessThanOrEqualTo(maxAllowed(limit));
  }

  /** Each box wants to send there three times a second, or more where the limit is large. */
  private static RateLimitSimulation underLoad(int boxes, double limit, long seed) {
    return new RateLimitSimulation(
        new Plan(boxes, limit, attemptsPerSecond(boxes, limit), boxes > 12 ? 400 : 60, 300), seed);
  }

  private static double attemptsPerSecond(int boxes, double limit) {
    return Math.max(3 * limit, 3 * boxes);
  }

  private static long maxAllowed(double limit) {
    return (long) (1.5 * limit * 4 + 5);
  }
}
