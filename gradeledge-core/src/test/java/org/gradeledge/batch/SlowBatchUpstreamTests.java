package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.gradeledge.deployment.BatchLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which upstreams are called after one of them was slow, in virtual time. */
@Timeout(60)
class SlowBatchUpstreamTests {

  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000_000, 60_000);
  private static final int NORMAL_CALL_MILLIS = 240;
  private static final int SLOW_CALL_MILLIS = 900;
  private static final int WAITING_GROUPS = 8;

  private final BatchSimulation simulation = new BatchSimulation(LIMITS, "z", "z", "z", "z");
  private int submitted;
  private int completed;

  // Guards against an upstream that was slow once and is never called again while pieces wait.
  @Test
  void callsAnUpstreamAgainThatIsNoLongerSlow() throws Exception {
    Set<String> slow = Set.of("u0", "u1", "u2");
    slow.forEach(id -> simulation.setCallMillis(id, SLOW_CALL_MILLIS));
    run(3_000);
    slow.forEach(id -> simulation.setCallMillis(id, NORMAL_CALL_MILLIS));
    run(4_000);

    simulation.callCounts().clear();
    run(2_000);

    assertThat(simulation.callCounts().values()).hasSize(4).allMatch(count -> count >= 4);
  }

  // Guards against many pieces that wait for an upstream which is still slow.
  @Test
  void callsAnUpstreamThatStaysSlowSeldom() throws Exception {
    simulation.setCallMillis("u0", SLOW_CALL_MILLIS);
    run(3_000);

    simulation.callCounts().clear();
    run(10_000);

    assertThat(simulation.callCounts().getOrDefault("u0", 0)).isLessThanOrEqualTo(7);
    assertThat(simulation.callCounts().get("u1")).isGreaterThan(35);
  }

  // Guards against upstreams that are not called because the box itself was paused during a call.
  @Test
  void doesNotTakeItsOwnPauseForSlownessOfUpstreams() throws Exception {
    submit(3);
    simulation.run(1, () -> {});
    assertThat(simulation.openCalls()).isEqualTo(3);
    simulation.pause(3_200);

    simulation.callCounts().clear();
    run(600);

    assertThat(simulation.callCounts()).hasSize(4);
  }

  /** Runs for some time, in which pieces wait all the while. */
  private void run(long millis) throws InterruptedException {
    simulation.run(
        millis,
        () -> {
          while (submitted - completed < WAITING_GROUPS + simulation.openCalls()) {
            submit(1);
          }
        });
  }

  private void submit(int groups) {
    for (int i = 0; i < groups; i++) {
      simulation
          .coordinator()
          .submit(StageGroups.due("r" + submitted++, 4, 1, 60_000, false), result -> completed++);
    }
  }
}
