package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.gradeledge.deployment.BatchLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests the forecast of a later stage admits, in virtual time. */
@Timeout(60)
class AdmissionForecastTests {

  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000_000, 60_000);
  private static final int CALL_MILLIS = 240;
  private static final int UPSTREAMS = 4;
  private static final double CAPACITY_PER_SECOND = UPSTREAMS * 4 * 1_000.0 / CALL_MILLIS;
  private static final double LATENESS_TOLERANCE = 1.15;

  /** Time that the earlier stages of each request take. */
  private static final long EARLIER_STAGES_MILLIS = 700;

  private static final long TARGET_MILLIS = 1_500;
  private static final int LEAST_URGENT = 2;

  private final BatchSimulation simulation = new BatchSimulation(LIMITS, "z", "z", "z", "z");
  private final Map<Integer, Integer> arrived = new HashMap<>();
  private final Map<Integer, Integer> servedInTime = new HashMap<>();
  private final Map<Integer, Double> fractions = new HashMap<>();
  private int requests;

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

    assertThat(share(LEAST_URGENT)).isGreaterThanOrEqualTo(0.9);
    assertThat(share(0)).isGreaterThanOrEqualTo(0.9);
  }

  // Guards against boxes that are told a shorter backlog than the box that makes the calls knows.
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
                    .isEqualTo(
                        simulation
                            .coordinator()
                            .backlogMillisOf(BatchSimulation.SERVICE, priority)));
  }

  private double share(int priority) {
    return (double) servedInTime.getOrDefault(priority, 0) / arrived.get(priority);
  }

  /** Announces the requests that arrive in a millisecond, unless admission refuses them. */
  private void arrive(int priority, double perSecond) {
    double due = fractions.merge(priority, perSecond / 1_000, Double::sum);
    if (due < 1) {
      return;
    }
    fractions.put(priority, due - 1);
    if (simulation.nowMillis() > 102_000) {
      arrived.merge(priority, 1, Integer::sum);
    }
    long backlogMillis =
        simulation.coordinator().backlogMillisOf(BatchSimulation.SERVICE, priority);
    long expectedMillis = Math.max(EARLIER_STAGES_MILLIS, backlogMillis) + CALL_MILLIS;
    if (expectedMillis <= TARGET_MILLIS * LATENESS_TOLERANCE) {
      long targetMillis = simulation.nowMillis() + TARGET_MILLIS;
      simulation.pendingPieces().add(BatchSimulation.SERVICE, priority, 1);
      simulation.schedule(EARLIER_STAGES_MILLIS, () -> submit(priority, targetMillis));
    }
  }

  private void submit(int priority, long targetMillis) {
    simulation.pendingPieces().remove(BatchSimulation.SERVICE, priority, 1);
    long dueMillis = targetMillis - simulation.nowMillis();
    simulation
        .coordinator()
        .submit(
            StageGroups.due("r" + requests++, 1, priority, dueMillis, false),
            result -> {
              if (result.outcome() == StageOutcome.MADE && simulation.nowMillis() <= targetMillis) {
                servedInTime.merge(priority, 1, Integer::sum);
              }
            });
  }
}
