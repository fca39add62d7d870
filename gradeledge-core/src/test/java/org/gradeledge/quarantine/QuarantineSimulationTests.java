package org.gradeledge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Tests with fixed seeds, as the checks are on rates, that few upstreams crash and harmless
 * requests are served.
 */
class QuarantineSimulationTests {

  private static final long FEW_BOXES_PROPAGATION_MILLIS = 30;
  private static final long MANY_BOXES_PROPAGATION_MILLIS = 400;

  /** Three crashes for the verdict, and two attempts that may already be in flight. */
  private static final int MAX_CRASHES = 5;

  /** With 18 upstreams, one crash per upstream in six minutes. */
  private static final double RARE_CRASHES_PER_SECOND = 0.05;

  /** With 18 upstreams, one crash per upstream in 36 seconds. */
  private static final double FREQUENT_CRASHES_PER_SECOND = 0.5;

  /**
   * A harmless request that crashed along with several crashing ones is quarantined until those are
   * identified.
   */
  private static final double MAX_SHARE_QUARANTINED = 2e-4;

  private static final double MAX_SHARE_QUARANTINED_BY_CHANCE = 4e-4;

  @Test
  void quarantinesCrashingRequestsAndServesHarmlessOnes() {
    for (int crashingRequests = 1; crashingRequests <= 3; crashingRequests++) {
      int maxCrashes = crashingRequests * MAX_CRASHES;
      List<QuarantineSimulation> simulations =
          run(
              new QuarantineSimulation.Plan(
                  8, 18, crashingRequests, FEW_BOXES_PROPAGATION_MILLIS, RARE_CRASHES_PER_SECOND),
              30);

      assertThat(simulations).allMatch(simulation -> simulation.crashesByRequests() <= maxCrashes);
      assertThat(shareQuarantined(simulations)).isLessThan(MAX_SHARE_QUARANTINED);
      assertThat(simulations).allMatch(simulation -> simulation.harmlessQuarantinedAtEnd() == 0);
    }
  }

  @Test
  void limitsCrashesWithManyBoxesAndSlowerPropagation() {
    List<QuarantineSimulation> simulations =
        run(
            new QuarantineSimulation.Plan(
                60, 90, 2, MANY_BOXES_PROPAGATION_MILLIS, RARE_CRASHES_PER_SECOND),
            20);

    assertThat(simulations)
        .allMatch(simulation -> simulation.crashesByRequests() <= 2 * (MAX_CRASHES + 1));
    assertThat(shareQuarantined(simulations)).isLessThan(MAX_SHARE_QUARANTINED);
  }

  /** Three crashes in a row are rare by chance. */
  @Test
  void quarantinesFewRequestsWhenUpstreamsCrashByThemselves() {
    List<QuarantineSimulation> simulations =
        run(
            new QuarantineSimulation.Plan(
                8, 18, 0, FEW_BOXES_PROPAGATION_MILLIS, FREQUENT_CRASHES_PER_SECOND),
            60);

    assertThat(shareQuarantined(simulations)).isLessThan(MAX_SHARE_QUARANTINED_BY_CHANCE);
  }

  private static List<QuarantineSimulation> run(QuarantineSimulation.Plan plan, int seeds) {
    return LongStream.rangeClosed(1, seeds)
        .mapToObj(seed -> new QuarantineSimulation(plan, seed).run())
        .toList();
  }

  private static double shareQuarantined(List<QuarantineSimulation> simulations) {
    double sent = simulations.stream().mapToInt(QuarantineSimulation::harmlessSent).sum();
    double quarantined =
        simulations.stream().mapToInt(QuarantineSimulation::harmlessQuarantined).sum();
    System.out.printf(
        "crashes by requests %s, harmless sent %.0f, quarantined %.0f%n",
        simulations.stream().mapToInt(QuarantineSimulation::crashesByRequests).summaryStatistics(),
        sent,
        quarantined);
    return quarantined / sent;
  }
}
