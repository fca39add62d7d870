package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Shares of a limit, however many boxes there are. */
class LimitShareTests {

  private static final double WINDOW_SECONDS = 4;
  private static final double OVERAGE = 1.5;
  private static final double EXTRA = 5;

  /** Rounding of sums of many parts. */
  private static final double ROUNDING = 1e-6;

  @Property(tries = 500)
  void whatAllBoxesMaySendInAWindowIsWhatTheRuleAllows(
      @ForAll @DoubleRange(max = 200) double limit,
      @ForAll @IntRange(min = 1, max = 530) int boxes) {
    double most =
        shares(limit, boxes).stream()
            .mapToDouble(share -> share.depth() + WINDOW_SECONDS * share.perSecond())
            .sum();

    assertThat(most).isLessThanOrEqualTo(limit * OVERAGE * WINDOW_SECONDS + EXTRA + ROUNDING);
  }

  @Property(tries = 500)
  void allSharesTogetherAreMostOfTheLimit(
      @ForAll @DoubleRange(min = 0.2, max = 200) double limit,
      @ForAll @IntRange(min = 1, max = 530) int boxes) {
    double sum = shares(limit, boxes).stream().mapToDouble(LimitShare::perSecond).sum();

    assertThat(sum).isBetween(0.85 * limit, limit);
  }

  @Property(tries = 200)
  void oneBoxThatSendsAllAndItsSuccessorKeepToTheRuleTogether(
      @ForAll @DoubleRange(max = 2.4) double limit) {
    LimitShare share = LimitShare.alone(limit);

    double both = share.depth() + 2 * WINDOW_SECONDS * share.perSecond();

    assertThat(both).isLessThanOrEqualTo(limit * OVERAGE * WINDOW_SECONDS + EXTRA + ROUNDING);
  }

  @Test
  void boxesBeginOneAfterTheOther() {
    List<LimitShare> shares = shares(1, 8);

    List<Double> firstAfterSeconds =
        shares.stream()
            .map(share -> (1 - share.firstLevel()) / share.perSecond())
            .sorted()
            .toList();

    assertThat(firstAfterSeconds.get(0)).isGreaterThanOrEqualTo(1);
    IntStream.range(1, firstAfterSeconds.size())
        .forEach(
            next ->
                assertThat(firstAfterSeconds.get(next) - firstAfterSeconds.get(next - 1))
                    .isGreaterThanOrEqualTo(1));
  }

  @Test
  void anUpstreamThatTakesNothingIsAskedNowAndThenWhetherThatIsStillSo() {
    double sum = shares(0, 8).stream().mapToDouble(LimitShare::perSecond).sum();

    assertThat(sum).isPositive().isLessThanOrEqualTo(EXTRA / WINDOW_SECONDS / 10);
  }

  private static List<LimitShare> shares(double limit, int boxes) {
    return IntStream.range(0, boxes)
        .mapToObj(rank -> LimitShare.of(limit, new BoxRank(rank, boxes)))
        .flatMap(Optional::stream)
        .toList();
  }
}
