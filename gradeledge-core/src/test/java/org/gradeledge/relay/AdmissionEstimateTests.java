package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.StageWork;
import org.gradeledge.deployment.TestDeployments;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the estimate of the time to the first event by which requests are admitted. */
@Timeout(30)
class AdmissionEstimateTests {

  private static final int SLOW_MILLIS = 900;

  private static final UpstreamRecord WITH_TWO_PLACES =
      new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 2, false);

  private SimulatedRelay relay = relayWithTarget(500);

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

  // Guards against a route that is never served, as it is refused by a guess that nothing corrects.
  @Test
  void admitsTheFirstRequestOfARouteWithAShortTarget() {
    relay = relayWithTarget(100);

    assertThat(isAdmitted("first")).isTrue();
  }

  // Guards against a route that is refused for good since its answers take longer than its target.
  @Test
  void admitsRequestsWhoseAnswersAreSlowOnIdleUpstreams() throws Exception {
    for (int sent = 0; sent < 20; sent++) {
      assertThat(isAdmitted("slow-" + sent)).isTrue();
      answerSlowly();
    }
  }

  private static SimulatedRelay relayWithTarget(long targetMillis) {
    RouteDefinition route =
        TestDeployments.route(
            SimulatedRelay.HOST,
            "/path/",
            Repeatability.RESUMABLE_STREAM,
            List.of(new StageWork("service", List.of(), 1)),
            targetMillis);
    return new SimulatedRelay(route, WITH_TWO_PLACES);
  }

  /** Keeps half of the places of the upstream in use, so that load may be what slows it. */
  private void refuseAllAfterSlowAnswers() throws Exception {
    assertThat(isAdmitted("held")).isTrue();
    relay.stageWorkClient.complete(0);
    relay.upstreamCaller.nextCall().notifySent();
    int sent = 0;
    while (isAdmitted("slow-" + sent++)) {
      answerSlowly();
    }
  }

  private void answerSlowly() throws Exception {
    relay.stageWorkClient.complete(0);
    FakeUpstreamCaller.Call call = relay.upstreamCaller.nextCall();
    relay.advance(SLOW_MILLIS);
    call.beginResponse(200, "data: 1\nid: 1\n\n");
    call.completeResponse();
    relay.runPendingTasks();
  }

  private boolean isAdmitted(String id) {
    relay.stageWorkClient.groups.clear();
    relay.send(id, List.of(1));
    return !relay.stageWorkClient.groups.isEmpty();
  }
}
