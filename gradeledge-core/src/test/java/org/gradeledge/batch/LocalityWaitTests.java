package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import org.gradeledge.deployment.BatchLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how long groups wait for an upstream of their own zone, in virtual time. */
@Timeout(60)
class LocalityWaitTests {

  private static final int PLACES = 4;
  private static final BatchLimits LIMITS = new BatchLimits(1, PLACES, 200, 10, 1_000_000, 60_000);
  private static final double CALL_SECONDS = 0.24;
  private static final long DUE_MILLIS = 2_000;

  /** Time in which the simulation starts the next call to an upstream. */
  private static final int DISPATCH_MILLIS = 2;

  private final BatchSimulation simulation = new BatchSimulation(LIMITS, "a", "b", "b", "b");
  private int submitted;
  private long idleMillis;
  private double due;

  // Guards against idle upstreams while more groups of another zone wait than its next call takes.
  @Test
  void upstreamsOfOtherZonesTakeGroupsThatTheirOwnZoneCannotTakeNext() throws Exception {
    double perSecond = 0.8 * 4 * PLACES / CALL_SECONDS;

    simulation.run(
        10_000,
        () -> {
          due += perSecond / 1_000;
          while (due >= 1) {
            due--;
            submit();
          }
          boolean idle = simulation.openCalls() < 4;
          idleMillis += idle && submitted - simulation.startedPieces() > PLACES ? 1 : 0;
        });

    int calls = simulation.callCounts().values().stream().mapToInt(Integer::intValue).sum();
    assertThat(idleMillis).isLessThanOrEqualTo((long) calls * DISPATCH_MILLIS);
  }

  // Guards against results that cross zones although the own zone has enough upstreams.
  @Test
  void groupsWaitForTheirOwnZoneAtLowLoad() throws Exception {
    BatchSimulation even = new BatchSimulation(LIMITS, "a", "b");
    int[] inOtherZone = new int[1];
    even.run(
        5_000,
        () -> {
          if (even.nowMillis() % 500 == 0) {
            String request = "r" + submitted++;
            even.coordinator()
                .submit(
                    StageGroups.inZone(request, "a", 2, DUE_MILLIS),
                    result ->
                        inOtherZone[0] +=
                            result.handles().stream()
                                    .anyMatch(each -> each.startsWith("10.0.0.1:1"))
                                ? 1
                                : 0);
          }
        });

    assertThat(inOtherZone[0]).isZero();
  }

  private void submit() {
    simulation
        .coordinator()
        .submit(StageGroups.inZone("r" + submitted++, "a", 1, DUE_MILLIS), result -> {});
  }
}
