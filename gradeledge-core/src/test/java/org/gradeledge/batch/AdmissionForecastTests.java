package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gradeledge.batch.SteadyLoad.CALL_MILLIS;
import static org.gradeledge.batch.SteadyLoad.CAPACITY_PER_SECOND;
import static org.gradeledge.batch.SteadyLoad.LEAST_URGENT;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests the forecast of a later stage admits, in virtual time. */
@Timeout(60)
class AdmissionForecastTests {

  /** Time that the earlier stages of each request take. */
  private static final long EARLIER_STAGES_MILLIS = 700;

  private static final long TARGET_MILLIS = 1_500;

  private final SteadyLoad load = new SteadyLoad();
  private final BatchSimulation simulation = load.simulation();

  // Guards against requests that are refused although the upstreams could serve all of them.
  @ParameterizedTest
  @CsvSource({"0.5, 0.2", "0.5, 0.4", "0.7, 0.2"})
  void leastUrgentRequestsAreAdmittedWhileUpstreamsCanServeAll(
      double urgentLoad, double leastUrgentLoad) throws Exception {
    simulation.run(
        20_000,
        () -> {
          arrive(0, urgentLoad * CAPACITY_PER_SECOND);
          arrive(LEAST_URGENT, leastUrgentLoad * CAPACITY_PER_SECOND);
        });
    simulation.run(TARGET_MILLIS, () -> {});

    assertThat(load.share(LEAST_URGENT)).isGreaterThanOrEqualTo(0.9);
    assertThat(load.share(0)).isGreaterThanOrEqualTo(0.9);
  }

  // Guards against a shorter backlog in heartbeats than the owner of the service expects.
  @Test
  void reportsTheBacklogOfEachPriority() throws Exception {
    simulation.run(5_000, () -> arrive(3, CAPACITY_PER_SECOND));
    for (int group = 0; group < 30; group++) {
      simulation.coordinator().submit(StageGroups.due("a" + group, 4, 3, 30_000, false), r -> {});
      simulation.coordinator().submit(StageGroups.due("b" + group, 4, 5, 30_000, false), r -> {});
    }

    List<Long> reported = simulation.coordinator().backlogMillis().get(BatchSimulation.SERVICE);

    assertThat(IntStream.range(0, PendingPieces.PRIORITY_LEVELS))
        .allSatisfy(
            priority ->
                assertThat(reported.get(Math.min(priority, reported.size() - 1)))
                    .isEqualTo(load.backlogMillis(priority)));
  }

  /** Announces the request that arrives in this millisecond, unless admission refuses it. */
  private void arrive(int priority, double perSecond) {
    if (!load.arrives(priority, perSecond)) {
      return;
    }
    long expectedMillis =
        Math.max(EARLIER_STAGES_MILLIS, load.backlogMillis(priority)) + CALL_MILLIS;
    if (SteadyLoad.isAdmitted(expectedMillis, TARGET_MILLIS)) {
      long targetAtMillis = simulation.nowMillis() + TARGET_MILLIS;
      simulation.pendingPieces().add(BatchSimulation.SERVICE, priority, 1);
      simulation.schedule(EARLIER_STAGES_MILLIS, () -> submit(priority, targetAtMillis));
    }
  }

  private void submit(int priority, long targetAtMillis) {
    simulation.pendingPieces().remove(BatchSimulation.SERVICE, priority, 1);
    load.submit(priority, targetAtMillis, false);
  }
}
