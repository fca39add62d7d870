package org.gradeledge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * However ends, news and arrivals interleave: few upstreams end, and the innocent are served. The
 * seeds are fixed, as what is judged is a rate.
 */
class QuarantineSimulationTests {

  private static final long FEW_BOXES_PROPAGATION_MILLIS = 30;
  private static final long MANY_BOXES_PROPAGATION_MILLIS = 400;

  /** Three prove it, and two more may be under way: an arrival has two tries. */
  private static final int MAX_CRASHES = 5;

  /** Each of 18 upstreams ends once in six minutes. */
  private static final double RARE_CRASHES_PER_SECOND = 0.05;

  /** Each of 18 upstreams ends once in 36 seconds. */
  private static final double FREQUENT_CRASHES_PER_SECOND = 0.5;

  /** One that was lost beside several guilty ones is held back until those are known. */
  private static final double MAX_SHARE_QUARANTINED = 2e-4;

  private static final double MAX_SHARE_QUARANTINED_BY_CHANCE = 4e-4;

  @Test
  void quarantinesCrashingRequestsAndServesHarmlessOnes() {
    for (int guiltyRequests = 1; guiltyRequests <= 3; guiltyRequests++) {
      int most = guiltyRequests * MAX_CRASHES;
      List<QuarantineSimulation> played =
          run(
              new QuarantineSimulation.Plan(
                  8, 18, guiltyRequests, FEW_BOXES_PROPAGATION_MILLIS, RARE_CRASHES_PER_SECOND),
              30);

      assertThat(played).allMatch(model -> model.crashesByRequests() <= most);
      assertThat(shareQuarantined(played)).isLessThan(MAX_SHARE_QUARANTINED);
      assertThat(played).allMatch(model -> model.harmlessQuarantinedAtEnd() == 0);
    }
  }

  @Test
  void limitsCrashesWithManyBoxesAndSlowerPropagation() {
    List<QuarantineSimulation> played =
        run(
            new QuarantineSimulation.Plan(
                60, 90, 2, MANY_BOXES_PROPAGATION_MILLIS, RARE_CRASHES_PER_SECOND),
            20);

    assertThat(played).allMatch(model -> model.crashesByRequests() <= 2 * (MAX_CRASHES + 1));
    assertThat(shareQuarantined(played)).isLessThan(MAX_SHARE_QUARANTINED);
  }

  /** A request that is lost three times in a row is what is looked for, and seldom is chance. */
  @Test
  void quarantinesFewRequestsWhenUpstreamsCrashByThemselves() {
    List<QuarantineSimulation> played =
        run(
            new QuarantineSimulation.Plan(
                8, 18, 0, FEW_BOXES_PROPAGATION_MILLIS, FREQUENT_CRASHES_PER_SECOND),
            60);

    assertThat(shareQuarantined(played)).isLessThan(MAX_SHARE_QUARANTINED_BY_CHANCE);
  }

  private static List<QuarantineSimulation> run(QuarantineSimulation.Plan plan, int seeds) {
    return LongStream.rangeClosed(1, seeds)
        .mapToObj(seed -> new QuarantineSimulation(plan, seed).run())
        .toList();
  }

  private static double shareQuarantined(List<QuarantineSimulation> played) {
    double sent = played.stream().mapToInt(QuarantineSimulation::harmlessSent).sum();
    double heldBack = played.stream().mapToInt(QuarantineSimulation::harmlessQuarantined).sum();
    System.out.printf(
        "ended by guilty requests %s, innocent sent %.0f, held back %.0f%n",
        played.stream().mapToInt(QuarantineSimulation::crashesByRequests).summaryStatistics(),
        sent,
        heldBack);
    return heldBack / sent;
  }
}
