package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.gradeledge.limit.LimitedDeploymentModel.Plan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Boxes that tell each other late keep to an upstream's limit together, and use it. */
class LimitedDeploymentTests {

  private static final long WHOLE_MILLIS = 40_000;

  /** The rule holds from 3 s after the first answer that names a limit. */
  private static final long RULE_FROM_MILLIS = LimitedDeploymentModel.NAMED_AT_MILLIS + 3_000;

  private static final double USED = 0.7;

  @ParameterizedTest
  @CsvSource({"6, 1", "8, 1.3", "8, 5", "61, 1", "61, 20", "530, 1", "530, 40"})
  void mostOfALimitIsUsedUnderLoad(int boxes, double limit) {
    LimitedDeploymentModel deployment = loaded(boxes, limit, 1);

    deployment.run(WHOLE_MILLIS);

    long used = deployment.arrivedBetween(15_000, WHOLE_MILLIS);
    assertThat(deployment.mostInWindow(RULE_FROM_MILLIS)).isLessThanOrEqualTo(allowed(limit));
    assertThat(used / 25.0).isGreaterThanOrEqualTo(USED * limit);
  }

  @Property(tries = 40, shrinking = ShrinkingMode.OFF)
  void theRuleHoldsWhileBoxesAreRestartedFrozenAndAdded(
      @ForAll long seed,
      @ForAll @IntRange(min = 2, max = 61) int boxes,
      @ForAll @DoubleRange(min = 0.05, max = 30) double limit) {
    LimitedDeploymentModel deployment = loaded(boxes, limit, seed);
    Random random = new Random(seed);

    for (int second = 0; second < 40; second++) {
      deployment.run(1_000);
      int box = random.nextInt(deployment.boxes());
      switch (random.nextInt(8)) {
        case 0 -> deployment.restart(box, 2_000);
        case 1 -> deployment.freeze(box, 500 + random.nextInt(8_000));
        case 2 -> deployment.add();
        default -> {}
      }
    }

    assertThat(deployment.mostInWindow(RULE_FROM_MILLIS)).isLessThanOrEqualTo(allowed(limit));
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF)
  void theRuleHoldsWhereOneBoxIsNotHeardButHearsTheOthers(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 61) int boxes) {
    double limit = 1;
    LimitedDeploymentModel deployment = loaded(boxes, limit, seed);
    deployment.run(5_000);

    deployment.silence((int) Math.floorMod(seed, boxes));
    deployment.run(25_000);
    deployment.hearAgain();
    deployment.run(10_000);

    assertThat(deployment.mostInWindow(RULE_FROM_MILLIS)).isLessThanOrEqualTo(allowed(limit));
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF)
  void aLimitThatIsNamedNoMoreIsLiftedEverywhereWithinASecondOfTheFirstAnswerThatProvesIt(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 61) int boxes) {
    LimitedDeploymentModel deployment = loaded(boxes, 2, seed);
    deployment.run(20_000);
    assertThat(deployment.boxesThatKnowALimit()).isEqualTo(boxes);
    deployment.setLimit(-1);

    while (!deployment.isLiftedForSure()) {
      deployment.run(10);
    }
    deployment.run(1_000);

    assertThat(deployment.boxesThatKnowALimit()).isZero();
  }

  // Guards against a limit that an older word brings back, as later answers without it were
  // ignored.
  @Test
  void aLimitThatIsLiftedIsNotBroughtBackByAnOlderWord() {
    assertThat(
            LongStream.rangeClosed(-400, 400)
                .filter(seed -> boxesThatKnowAfterLifting(3, seed) > 0)
                .boxed()
                .toList())
        .isEmpty();
  }

  private static long boxesThatKnowAfterLifting(int boxes, long seed) {
    LimitedDeploymentModel deployment = loaded(boxes, 2, seed);
    deployment.run(20_000);
    deployment.setLimit(-1);
    while (!deployment.isLiftedForSure()) {
      deployment.run(10);
    }
    deployment.run(1_000);
    return deployment.boxesThatKnowALimit();
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF)
  void aLimitThatComesBackHoldsAgain(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 61) int boxes) {
    double limit = 2;
    LimitedDeploymentModel deployment = loaded(boxes, limit, seed);
    deployment.run(12_000);
    deployment.setLimit(-1);
    deployment.run(6_000);
    deployment.setLimit(limit);
    deployment.run(20_000);

    assertThat(deployment.mostInWindow(18_000 + 3_000)).isLessThanOrEqualTo(allowed(limit));
  }

  /** Each box wants to send there three times a second, or more where the limit is large. */
  private static LimitedDeploymentModel loaded(int boxes, double limit, long seed) {
    return new LimitedDeploymentModel(
        new Plan(boxes, limit, wanted(boxes, limit), boxes > 12 ? 400 : 60, 300), seed);
  }

  private static double wanted(int boxes, double limit) {
    return Math.max(3 * limit, 3 * boxes);
  }

  private static long allowed(double limit) {
    return (long) (1.5 * limit * 4 + 5);
  }
}
