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
  private static final double LIMIT_FACTOR = 1.5;
  private static final double EXTRA_REQUESTS = 5;

  /** Rounding of sums of many parts. */
  private static final double ROUNDING_ERROR = 1e-6;

  @Property(tries = 500)
  void sumOfSharesStaysWithinBoundPerWindow(
      @ForAll @DoubleRange(max = 200) double limit,
      @ForAll @IntRange(min = 1, max = 530) int boxes) {
    double most =
        shares(limit, boxes).stream()
            .mapToDouble(share -> share.burst() + WINDOW_SECONDS * share.requestsPerSecond())
            .sum();

    assertThat(most)
        .isLessThanOrEqualTo(
            limit * LIMIT_FACTOR * WINDOW_SECONDS + EXTRA_REQUESTS + ROUNDING_ERROR);
  }

  @Property(tries = 500)
  void sumOfSharesUsesMostOfLimit(
      @ForAll @DoubleRange(min = 0.2, max = 200) double limit,
      @ForAll @IntRange(min = 1, max = 530) int boxes) {
    double sum = shares(limit, boxes).stream().mapToDouble(LimitShare::requestsPerSecond).sum();

    assertThat(sum).isBetween(0.85 * limit, limit);
  }

  @Property(tries = 200)
  void singleSenderAndItsSuccessorStayWithinBound(@ForAll @DoubleRange(max = 2.4) double limit) {
    LimitShare share = LimitShare.forSingleSender(limit);

    double both = share.burst() + 2 * WINDOW_SECONDS * share.requestsPerSecond();

    assertThat(both)
        .isLessThanOrEqualTo(
            limit * LIMIT_FACTOR * WINDOW_SECONDS + EXTRA_REQUESTS + ROUNDING_ERROR);
  }

  @Test
  void boxesStartSendingOneAfterAnother() {
    List<LimitShare> shares = shares(1, 8);

    List<Double> firstAfterSeconds =
        shares.stream()
            .map(share -> (1 - share.initialTokens()) / share.requestsPerSecond())
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
  void upstreamWithZeroLimitReceivesOccasionalRequests() {
    double sum = shares(0, 8).stream().mapToDouble(LimitShare::requestsPerSecond).sum();

    assertThat(sum).isPositive().isLessThanOrEqualTo(EXTRA_REQUESTS / WINDOW_SECONDS / 10);
  }

  private static List<LimitShare> shares(double limit, int boxes) {
    return IntStream.range(0, boxes)
        .mapToObj(rank -> LimitShare.of(limit, new BoxRank(rank, boxes)))
        .flatMap(Optional::stream)
        .toList();
  }
}
