package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.gradeledge.limit.BackoffModel.Way;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Ways to heed upstreams that ask for time without requests, many boxes in virtual time. */
class BackoffDeploymentTests {

  private static final Duration ASKED = Duration.ofSeconds(3);
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final Duration RETURN = Duration.ofSeconds(3);

  @ParameterizedTest
  @CsvSource({"8, 0.5, 1", "8, 0.5, 2", "8, 0.2, 2", "61, 0.5, 0.3", "530, 0.5, 0.05"})
  void anUpstreamThatTurnsAPartAwayServesMoreIfEachBoxHeedsWhatItWasAskedItself(
      int boxes, double partTurnedAway, double wantedPerSecond) {
    BackoffModel alone = new BackoffModel(Way.ALONE, boxes, ASKED, 1);
    BackoffModel together = new BackoffModel(Way.TOGETHER, boxes, ASKED, 1);

    alone.playPart(MINUTE, wantedPerSecond, partTurnedAway);
    together.playPart(MINUTE, wantedPerSecond, partTurnedAway);

    print("part", boxes, partTurnedAway, alone, together);
    assertThat(alone.served()).isGreaterThan(together.served());
  }

  @ParameterizedTest
  @CsvSource({"8, 10, 40", "8, 3, 40", "61, 2, 40", "530, 1, 200"})
  void whatWaitedIsTurnedAwayLessIfItDoesNotComeAllAtOnce(
      int boxes, int waiting, double bornePerSecond) {
    BackoffModel paced = new BackoffModel(Way.ALONE, boxes, ASKED, 1);
    BackoffModel atOnce = new BackoffModel(Way.ALL_AT_ONCE, boxes, ASKED, 1);

    paced.playReturn(RETURN, waiting, bornePerSecond);
    atOnce.playReturn(RETURN, waiting, bornePerSecond);

    print("return", boxes, waiting, paced, atOnce);
    assertThat(paced.turnedAway()).isLessThanOrEqualTo(atOnce.turnedAway());
    assertThat(paced.served()).isGreaterThanOrEqualTo(atOnce.served());
  }

  private static void print(
      String what, int boxes, double figure, BackoffModel kept, BackoffModel other) {
    System.out.printf(
        "%s: %d boxes, %.1f: served %d and %d, turned away %d and %d%n",
        what, boxes, figure, kept.served(), other.served(), kept.turnedAway(), other.turnedAway());
  }
}
