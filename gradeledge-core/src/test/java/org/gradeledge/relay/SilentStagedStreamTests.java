package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gradeledge.relay.SilentStreams.FIRST_EVENT;
import static org.gradeledge.relay.SilentStreams.REPORT_MILLIS;
import static org.gradeledge.relay.SilentStreams.SECOND_EVENT;
import static org.gradeledge.relay.SilentStreams.SILENCE_MILLIS;
import static org.gradeledge.relay.SilentStreams.STAGE;
import static org.gradeledge.relay.SilentStreams.TARGET_MILLIS;
import static org.gradeledge.relay.SilentStreams.advanceAndReport;
import static org.gradeledge.relay.SilentStreams.beginStaged;
import static org.gradeledge.relay.SilentStreams.route;
import static org.gradeledge.relay.SilentStreams.sendStaged;
import static org.gradeledge.relay.SilentStreams.upstream;

import org.gradeledge.batch.StageOutcome;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.junit.jupiter.api.Test;

/** Streams with stage work whose upstream falls silent or breaks off, in virtual time. */
class SilentStagedStreamTests {

  /** Time after which an upstream has fetched its inputs. */
  private static final long INPUT_RELEASE_MILLIS = 100;

  // Guards against a stream with stage inputs that no upstream can continue, as its inputs were
  // released and its stage work counts as late by the target time of its first event.
  @Test
  void continuesBrokenStreamWithNewStageInputs() throws Exception {
    SimulatedRelay box = new SimulatedRelay(route(STAGE), upstream(1, "v1"), upstream(2, "v1"));
    FakeUpstreamCaller.Call first = beginStaged(box);
    box.advance(TARGET_MILLIS + 1);

    first.fail(CallFailure.BROKEN);
    box.runPendingTasks();
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    assertThat(box.stageWorkClient.submittedStages()).containsExactly(0, 0);
    assertThat(box.stageWorkClient.groups.get(1).dueMillis()).isPositive();
    box.stageWorkClient.complete(0);
    box.upstreamCaller.nextCall().respond(200, SECOND_EVENT);

    assertThat(box.answers).containsExactly("stream", "end");
    assertThat(box.events).hasToString(FIRST_EVENT + SECOND_EVENT);
  }

  // Guards against an answer that promises that a request has not run although it may have.
  @Test
  void promisesNothingIfStageWorkFailsAfterARun() throws Exception {
    SimulatedRelay box = new SimulatedRelay(route(STAGE), upstream(1, "v1"), upstream(2, "v1"));
    FakeUpstreamCaller.Call call = sendStaged(box);
    call.notifySent();
    box.advance(INPUT_RELEASE_MILLIS);
    call.fail(CallFailure.BROKEN);
    box.runPendingTasks();

    box.stageWorkClient.fail(0, StageOutcome.FAILED);

    assertThat(box.answers).containsExactly("BROKEN ");
  }

  // Guards against giving up a stream with stage inputs before they are computed again.
  @Test
  void keepsSilentStreamWhileItsInputsAreComputedAgain() throws Exception {
    SimulatedRelay box = new SimulatedRelay(route(STAGE), upstream(1, "v1"), upstream(2, "v1"));
    FakeUpstreamCaller.Call call = beginStaged(box);
    advanceAndReport(box, SILENCE_MILLIS);
    assertThat(box.stageWorkClient.submittedStages()).containsExactly(0, 0);
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();

    box.stageWorkClient.fail(0, StageOutcome.FAILED);
    advanceAndReport(box, REPORT_MILLIS);
    assertThat(box.stageWorkClient.submittedStages()).containsExactly(0, 0);
    call.continueResponse(SECOND_EVENT);

    assertThat(box.answers).containsExactly("stream", "end");
  }

  // Guards against giving up an attempt whose inputs cannot be computed again in time.
  @Test
  void keepsSilentAttemptWithoutEventsIfItsInputsWouldBeLate() throws Exception {
    SimulatedRelay box = new SimulatedRelay(route(STAGE), upstream(1, "v1"), upstream(2, "v1"));
    FakeUpstreamCaller.Call call = sendStaged(box);
    call.notifySent();

    advanceAndReport(box, SILENCE_MILLIS);
    assertThat(call.isCancelled()).isFalse();
    call.respond(200, FIRST_EVENT);

    assertThat(box.answers).containsExactly("stream", "end");
  }

  // Guards against stage work that never ends because that of an earlier silence was cancelled.
  @Test
  void computesInputsAgainAfterTheStreamWentOnMeanwhile() throws Exception {
    SimulatedRelay box = new SimulatedRelay(route(STAGE), upstream(1, "v1"), upstream(2, "v1"));
    FakeUpstreamCaller.Call call = beginStaged(box);
    advanceAndReport(box, SILENCE_MILLIS);
    call.sendContent(SECOND_EVENT);
    advanceAndReport(box, SILENCE_MILLIS);
    assertThat(box.stageWorkClient.submittedStages()).containsExactly(0, 0, 0);

    call.fail(CallFailure.BROKEN);
    box.runPendingTasks();
    box.stageWorkClient.complete(0);
    box.upstreamCaller.nextCall().respond(200, "id: 3\ndata: piece 3\n\n");

    assertThat(box.answers).containsExactly("stream", "end");
  }
}
