package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.StageWork;
import org.gradeledge.deployment.TestDeployments;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Handling of different requests whose prompts share a part that crashes upstreams. */
@Timeout(30)
class CrashingPromptPartTests {

  private static final String SHARED = "aa";
  private static final String CRASHING = "bb";
  private static final String HARMLESS = "cc";
  private static final String FIRST_EVENT = "id: 1\ndata: piece 1\n\n";
  private static final String SECOND_EVENT = "id: 2\ndata: piece 2\n\n";

  private final SimulatedRelay box = relay(List.of());
  private int requests;

  private static SimulatedRelay relay(List<StageWork> stages) {
    RouteDefinition route =
        TestDeployments.route(
            SimulatedRelay.HOST, "/path/", Repeatability.RESUMABLE_STREAM, stages);
    return new SimulatedRelay(
        route,
        IntStream.rangeClosed(1, 20)
            .mapToObj(SimulatedRelay::upstream)
            .toArray(UpstreamRecord[]::new));
  }

  // Guards against a part of prompts that crashes one upstream after the other in new requests.
  @Test
  void refusesNewRequestsWithPartThatCrashedUpstreams() throws Exception {
    crashUpstreams(box, 3);

    box.answers.clear();
    box.sendPrompt("next", SHARED, CRASHING, "own");

    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    assertThat(box.answers)
        .hasSize(1)
        .allMatch(answer -> answer.startsWith("PROMPT_PART_QUARANTINED"));
  }

  // Guards against stage work for requests that cannot be served.
  @Test
  void startsNoStageWorkForPartThatCrashedUpstreams() throws Exception {
    SimulatedRelay staged = relay(List.of(new StageWork("service", List.of(), 1)));
    crashUpstreams(staged, 3);

    staged.sendPrompt("next", List.of(2), SHARED, CRASHING, "own");

    assertThat(staged.stageWorkClient.groups).isEmpty();
  }

  // Guards against barring requests that only share their other parts with crashing ones.
  @Test
  void servesRequestsThatShareOtherParts() throws Exception {
    crashUpstreams(box, 3);
    box.answers.clear();

    box.sendPrompt("next", SHARED, HARMLESS, "own");
    answer(box.upstreamCaller.nextCall());

    assertThat(box.answers).containsExactly("stream", "end");
  }

  // Guards against barring a part that was only in flight wherever another one crashed upstreams.
  @Test
  void keepsServingPartUnderWhichAnswersBegin() throws Exception {
    for (int crash = 0; crash < 6; crash++) {
      box.sendPrompt("bystander-" + crash, SHARED, HARMLESS, "own-" + crash);
      crash(box, box.upstreamCaller.nextCall());
      FakeUpstreamCaller.Call retried = box.upstreamCaller.nextCall();
      answer(retried);
    }

    box.answers.clear();
    box.sendPrompt("next", SHARED, HARMLESS, "own");
    answer(box.upstreamCaller.nextCall());

    assertThat(box.answers).containsExactly("stream", "end");
  }

  // Guards against blaming streams that had been under way when their upstream crashed.
  @Test
  void doesNotBlameAnswersThatAreUnderWay() throws Exception {
    for (int crash = 0; crash < 6; crash++) {
      box.sendPrompt("under-way-" + crash, SHARED, HARMLESS, "own-" + crash);
      FakeUpstreamCaller.Call call = box.upstreamCaller.nextCall();
      call.beginResponse(200, FIRST_EVENT);
      call.sendContent(SECOND_EVENT);
      crash(box, call);
      box.disconnectCaller();
      drainCalls(box);
    }

    box.answers.clear();
    box.sendPrompt("next", SHARED, HARMLESS, "own");
    answer(box.upstreamCaller.nextCall());

    assertThat(box.answers).containsExactly("stream", "end");
  }

  // Guards against sending a request again after its part was found to crash upstreams.
  @Test
  void sendsRequestInFlightNotAgainOnceItsPartIsBarred() throws Exception {
    box.sendPrompt("in-flight", SHARED, CRASHING, "own");
    FakeUpstreamCaller.Call inFlight = box.upstreamCaller.nextCall();
    crashUpstreams(box, 3);
    box.answers.clear();

    inFlight.fail(CallFailure.BROKEN);
    box.upstreamCaller.completeProbes();
    box.runPendingTasks();

    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
  }

  // Guards against a part that is barred in one spelling of its id only.
  @Test
  void recognizesPartInAnySpellingOfItsId() throws Exception {
    crashUpstreams(box, 3);

    box.answers.clear();
    box.sendPrompt("next", SHARED, "00BB", "own");

    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    assertThat(box.answers)
        .hasSize(1)
        .allMatch(answer -> answer.startsWith("PROMPT_PART_QUARANTINED"));
  }

  /** Sends different requests with the crashing part until it has crashed some upstreams. */
  private void crashUpstreams(SimulatedRelay relay, int crashes) throws Exception {
    int crashed = 0;
    while (crashed < crashes) {
      relay.sendPrompt("crashing-" + requests++, SHARED, CRASHING, "own-" + requests);
      while (crashed < crashes && !relay.upstreamCaller.hasNoCalls()) {
        crash(relay, relay.upstreamCaller.nextCall());
        crashed++;
      }
      relay.disconnectCaller();
      drainCalls(relay);
    }
  }

  private static void crash(SimulatedRelay relay, FakeUpstreamCaller.Call call) {
    call.fail(CallFailure.BROKEN);
    relay.upstreamCaller.completeProbes();
    relay.upstreams.markGone(call.target());
    relay.runPendingTasks();
  }

  private static void drainCalls(SimulatedRelay relay) throws Exception {
    while (!relay.upstreamCaller.hasNoCalls()) {
      relay.upstreamCaller.nextCall();
    }
  }

  private void answer(FakeUpstreamCaller.Call call) {
    call.beginResponse(200, FIRST_EVENT);
    call.continueResponse(SECOND_EVENT);
    box.runPendingTasks();
  }
}
