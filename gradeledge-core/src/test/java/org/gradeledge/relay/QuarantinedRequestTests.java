package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gradeledge.relay.SimulatedRelay.upstream;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.connection.LivenessResult;
import org.junit.jupiter.api.Test;

/** Handling of a request whose upstreams crash while serving it. */
class QuarantinedRequestTests {

  private static final List<Integer> NO_PIECES = List.of();

  private final SimulatedRelay box =
      new SimulatedRelay(SimulatedRelay.PLAIN, upstream(1), upstream(2), upstream(3));

  @Test
  void refusesQuarantinedRequestWithRetryAfter() {
    box.trials.untilNext = Optional.of(Duration.ofMinutes(9));
    recordCrashes(box, "a", "b", "c");

    box.send("r1", NO_PIECES);

    assertThat(box.answers).containsExactly("QUARANTINED 540000");
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
  }

  @Test
  void startsNoStageWorkForQuarantinedRequest() {
    SimulatedRelay staged = new SimulatedRelay(SimulatedRelay.STAGED, upstream(1));
    recordCrashes(staged, "a", "b", "c");

    staged.send("r1", List.of(2));

    assertThat(staged.stageWorkClient.groups).isEmpty();
    assertThat(staged.answers).containsExactly("QUARANTINED 3600000");
  }

  @Test
  void cancelsStageWorkWhenRequestIsQuarantined() {
    SimulatedRelay staged = new SimulatedRelay(SimulatedRelay.STAGED, upstream(1));
    staged.send("r1", List.of(2));
    assertThat(staged.stageWorkClient.groups).hasSize(1);

    recordCrashes(staged, "a", "b", "c");

    assertThat(staged.answers).containsExactly("QUARANTINED 3600000");
    assertThat(staged.stageWorkClient.cancelledServices).contains("service");
    assertThat(staged.upstreamCaller.hasNoCalls()).isTrue();
  }

  @Test
  void retriesAtOnceAfterFirstLostConnection() throws Exception {
    box.send("r1", NO_PIECES);
    loseConnection(box.upstreamCaller.nextCall());

    assertThat(box.upstreamCaller.nextCall().target()).isEqualTo(upstream(2));
    assertThat(box.answers).isEmpty();
  }

  @Test
  void waitsForLivenessCheckWhenRequestIsSuspect() throws Exception {
    recordCrashes(box, "a", "b");
    box.send("r1", NO_PIECES);
    loseConnection(box.upstreamCaller.nextCall());
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();

    box.upstreamCaller.completeProbes();
    box.runPendingTasks();

    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    assertThat(box.answers).containsExactly("BROKEN ");
    assertThat(box.quarantine.isQuarantined(box.fingerprint())).isTrue();
  }

  @Test
  void retriesSuspectRequestWhenUpstreamIsAlive() throws Exception {
    recordCrashes(box, "a", "b");
    box.upstreamCaller.setProbeResult(upstream(1), LivenessResult.THERE);
    box.send("r1", NO_PIECES);
    loseConnection(box.upstreamCaller.nextCall());

    box.upstreamCaller.completeProbes();
    box.runPendingTasks();

    FakeUpstreamCaller.Call second = box.upstreamCaller.nextCall();
    assertThat(second.target()).isEqualTo(upstream(2));
    second.respond(200, "ok");
    assertThat(box.answers).containsExactly("200");
    assertThat(box.quarantine.crashCount(box.fingerprint())).isZero();
  }

  /** Guards against counting a network partition as crashes. */
  @Test
  void doesNotCountSilentUpstreamAsCrashed() throws Exception {
    box.upstreamCaller.setProbeResult(upstream(1), LivenessResult.SILENT);
    box.send("r1", NO_PIECES);
    loseConnection(box.upstreamCaller.nextCall());
    box.upstreamCaller.completeProbes();

    assertThat(box.quarantine.crashCount(box.fingerprint())).isZero();
  }

  /** Guards against counting connections that a planned stop closes as crashes. */
  @Test
  void doesNotCountPlannedStopAsCrash() throws Exception {
    box.send("r1", NO_PIECES);
    box.upstreams.update(2, List.of(), List.of("u1"));
    loseConnection(box.upstreamCaller.nextCall());
    box.upstreamCaller.completeProbes();

    assertThat(box.quarantine.crashCount(box.fingerprint())).isZero();
    assertThat(box.upstreamCaller.probed()).isEmpty();
    assertThat(box.upstreamCaller.nextCall().target()).isEqualTo(upstream(2));
  }

  @Test
  void releasesRequestAfterSuccessfulTrial() throws Exception {
    recordCrashes(box, "a", "b", "c");
    box.trials.untilNext = Optional.of(Duration.ZERO);
    box.trials.granted = true;

    box.send("r1", NO_PIECES);
    box.upstreamCaller.nextCall().respond(200, "ok");

    assertThat(box.answers).containsExactly("200");
    assertThat(box.quarantine.isQuarantined(box.fingerprint())).isFalse();
  }

  @Test
  void doesNotRetryTrialThatCrashesUpstream() throws Exception {
    recordCrashes(box, "a", "b", "c");
    box.trials.untilNext = Optional.of(Duration.ZERO);
    box.trials.granted = true;
    box.send("r1", NO_PIECES);
    loseConnection(box.upstreamCaller.nextCall());
    box.upstreamCaller.completeProbes();
    box.runPendingTasks();

    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    assertThat(box.answers).containsExactly("BROKEN ");
  }

  @Test
  void refusesWhenTrialIsGrantedToAnotherBox() {
    recordCrashes(box, "a", "b", "c");
    box.trials.untilNext = Optional.of(Duration.ZERO);

    box.send("r1", NO_PIECES);

    assertThat(box.answers).containsExactly("QUARANTINED 0");
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
  }

  // Guards against releasing a crashing request because another process uses the address.
  @Test
  void answerOfAnotherUpstreamAtTheAddressDoesNotRefuteCrash() throws Exception {
    recordCrashes(box, upstream(1).incarnationId(), "b", "c");
    box.advance(3_000);

    box.sendOther("r1");
    box.upstreamCaller.nextCall().respond(SimulatedRelay.OTHER_UPSTREAM, "");
    box.upstreamCaller.nextCall().respond(200, "ok");

    assertThat(box.answers).containsExactly("200");
    assertThat(box.quarantine.isQuarantined(box.fingerprint())).isTrue();
  }

  // Guards against clearing a crashing request by an upstream that failed before it crashed.
  @Test
  void serverErrorDoesNotWithdrawCrashes() throws Exception {
    recordCrashes(box, "a", "b");

    box.send("r1", NO_PIECES);
    box.upstreamCaller.nextCall().respond(500, "");
    box.upstreamCaller.nextCall().respond(500, "");

    assertThat(box.answers).containsExactly("500");
    assertThat(box.quarantine.crashCount(box.fingerprint())).isEqualTo(2);
  }

  // Guards against releasing a crashing request by an answer that a paused box reads late.
  @Test
  void lateAnswerToEarlierRequestDoesNotRefuteCrash() throws Exception {
    box.sendOther("r1");
    FakeUpstreamCaller.Call earlier = box.upstreamCaller.nextCall();
    box.advance(1);
    recordCrashes(box, upstream(1).incarnationId(), "b", "c");
    box.advance(3_000);

    earlier.respond(200, "ok");

    assertThat(box.quarantine.isQuarantined(box.fingerprint())).isTrue();
  }

  private void loseConnection(FakeUpstreamCaller.Call call) {
    call.fail(CallFailure.BROKEN);
    box.runPendingTasks();
  }

  private static void recordCrashes(SimulatedRelay relay, String... incarnations) {
    for (String incarnation : incarnations) {
      relay.quarantine.recordCrash(relay.fingerprint(), incarnation);
    }
    relay.runPendingTasks();
  }
}
