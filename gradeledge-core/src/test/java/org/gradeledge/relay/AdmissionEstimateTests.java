package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.StageWork;
import org.gradeledge.deployment.TestDeployments;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the estimate of the time to the first event by which requests are admitted. */
@Timeout(30)
class AdmissionEstimateTests {

  private static final int SLOW_MILLIS = 900;

  private static final RouteDefinition ROUTE =
      TestDeployments.route(
          SimulatedRelay.HOST,
          "/path/",
          Repeatability.RESUMABLE_STREAM,
          List.of(new StageWork("service", List.of(), 1)));

  private final SimulatedRelay relay = new SimulatedRelay(ROUTE, SimulatedRelay.upstream(1));

  // Guards against a kind of request that is refused for good after a phase of slow answers.
  @Test
  void admitsRequestsAgainAfterAPhaseOfSlowAnswers() throws Exception {
    refuseAllAfterSlowAnswers();

    relay.advance(10_000);

    assertThat(isAdmitted("later")).isTrue();
  }

  @Test
  void refusesRequestsWhileAnswersAreSlow() throws Exception {
    refuseAllAfterSlowAnswers();

    relay.advance(100);

    assertThat(isAdmitted("next")).isFalse();
  }

  private void refuseAllAfterSlowAnswers() throws Exception {
    int sent = 0;
    while (isAdmitted("slow-" + sent++)) {
      relay.stageWorkClient.complete(0);
      FakeUpstreamCaller.Call call = relay.upstreamCaller.nextCall();
      relay.advance(SLOW_MILLIS);
      call.beginResponse(200, "data: 1\nid: 1\n\n");
      call.completeResponse();
      relay.runPendingTasks();
    }
  }

  private boolean isAdmitted(String id) {
    relay.stageWorkClient.groups.clear();
    relay.send(id, List.of(1));
    return !relay.stageWorkClient.groups.isEmpty();
  }
}
