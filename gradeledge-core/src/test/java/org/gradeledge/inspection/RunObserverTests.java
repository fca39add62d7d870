package org.gradeledge.inspection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gradeledge.inspection.RunObserver.Verdict.CONNECTION_LOST;
import static org.gradeledge.inspection.RunObserver.Verdict.DOUBTFUL;
import static org.gradeledge.inspection.RunObserver.Verdict.PAUSING;
import static org.gradeledge.inspection.RunObserver.Verdict.UNKNOWN;

import java.util.Map;
import org.junit.jupiter.api.Test;

class RunObserverTests {

  private final RunObserver observer = new RunObserver("r1", true, false);

  // Guards against taking an upstream that makes no events for a lost connection.
  @Test
  void runWithoutProgressPauses() {
    for (int report = 0; report < 10; report++) {
      assertThat(observer.observe(running(4))).isEqualTo(PAUSING);
    }
  }

  @Test
  void runThatMakesEventsThatDoNotArriveHasLostItsConnection() {
    assertThat(observer.observe(running(4))).isEqualTo(PAUSING);
    assertThat(observer.observe(running(5))).isEqualTo(PAUSING);
    assertThat(observer.observe(running(6))).isEqualTo(CONNECTION_LOST);
  }

  @Test
  void runThatHasEndedHasLostItsConnection() {
    observer.observe(running(4));
    assertThat(observer.observe(ended())).isEqualTo(PAUSING);
    assertThat(observer.observe(ended())).isEqualTo(CONNECTION_LOST);
  }

  // Guards against taking a request that waits, or was preempted, for one that has ended.
  @Test
  void requestThatMayWaitIsUnknown() {
    RunReport others = new RunReport(3, Map.of("r2", 7L));

    assertThat(observer.observe(others)).isEqualTo(PAUSING);
    assertThat(observer.observe(others)).isEqualTo(UNKNOWN);
    assertThat(observer.observe(running(1))).isEqualTo(PAUSING);
  }

  // Guards against taking a request whose prompt is read for one whose connection was lost.
  @Test
  void runWithoutEventsThatIsInNoReportIsDoubtful() {
    RunObserver unbegun = new RunObserver("r1", false, false);

    assertThat(unbegun.observe(ended())).isEqualTo(PAUSING);
    assertThat(unbegun.observe(ended())).isEqualTo(DOUBTFUL);
    assertThat(unbegun.observe(running(0))).isEqualTo(PAUSING);
  }

  @Test
  void runWhoseFirstEventsDoNotArriveHasLostItsConnection() {
    RunObserver unbegun = new RunObserver("r1", false, false);

    assertThat(unbegun.observe(running(3))).isEqualTo(PAUSING);
    assertThat(unbegun.observe(running(3))).isEqualTo(CONNECTION_LOST);
  }

  // Guards against taking the events of an earlier run for events that did not arrive.
  @Test
  void resumedRunIsComparedWithItsFirstReport() {
    RunObserver resumed = new RunObserver("r1", false, true);

    assertThat(resumed.observe(running(3))).isEqualTo(PAUSING);
    assertThat(resumed.observe(running(3))).isEqualTo(PAUSING);
    assertThat(resumed.observe(running(3))).isEqualTo(PAUSING);
  }

  // Guards against a verdict from single reports that passed an event on its way.
  @Test
  void singleReportsOfLossDecideNothing() {
    observer.observe(running(4));
    assertThat(observer.observe(ended())).isEqualTo(PAUSING);
    assertThat(observer.observe(running(4))).isEqualTo(PAUSING);
    assertThat(observer.observe(ended())).isEqualTo(PAUSING);
  }

  private static RunReport running(long events) {
    return new RunReport(0, Map.of("r1", events));
  }

  private static RunReport ended() {
    return new RunReport(0, Map.of());
  }
}
