package org.gradeledge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests with fixed seeds that a crashing part of prompts is barred in time, and nothing beside it.
 */
class PromptPartSimulationTests {

  private static final int SEEDS = 10;

  /** Requests with the part that may reach upstreams after the reaction time. */
  private static final int MAX_LATE_SENDS = 3;

  /** Sound requests must begin at least half as often as without the crashing part. */
  private static final double MAX_SHARE_REFUSED = 0.5;

  @ParameterizedTest
  @CsvSource({
    "8, 13, 40, false, false, 0.1, 30, 0.05",
    "8, 13, 40, true, false, 0.1, 30, 0.05",
    "8, 13, 40, false, true, 0.1, 30, 0.05",
    "8, 13, 40, true, true, 0.1, 30, 0.05",
    "8, 13, 40, false, false, 0.4, 30, 0.2",
    "8, 13, 40, true, true, 0.4, 30, 0.2",
    "61, 90, 150, false, true, 0.05, 400, 0.2",
    "61, 90, 150, true, false, 0.05, 400, 0.2",
  })
  void barsCrashingPartAndNothingBesideIt(
      int boxes,
      int upstreams,
      int requestsPerSecond,
      boolean early,
      boolean tied,
      double share,
      long propagationMillis,
      double crashesPerSecond) {
    PromptPartSimulation.Plan plan =
        new PromptPartSimulation.Plan(
            boxes,
            upstreams,
            requestsPerSecond,
            early,
            tied,
            share,
            propagationMillis,
            crashesPerSecond);
    List<PromptPartSimulation> simulations =
        LongStream.rangeClosed(1, SEEDS)
            .mapToObj(seed -> new PromptPartSimulation(plan, seed).run())
            .toList();

    assertThat(simulations)
        .allMatch(simulation -> simulation.lateCrashingSends() <= MAX_LATE_SENDS);
    assertThat(simulations)
        .allMatch(
            simulation ->
                simulation.lateHarmlessRefused() <= simulation.lateHarmless() * MAX_SHARE_REFUSED);
  }
}
