package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gradeledge.relay.RelayInVirtualTime.upstream;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.connection.LivenessResult;
import org.junit.jupiter.api.Test;

/** What becomes of one request under which upstreams end. */
class QuarantinedRequestTests {

  private static final List<Integer> NO_PIECES = List.of();

  private final RelayInVirtualTime box =
      new RelayInVirtualTime(RelayInVirtualTime.PLAIN, upstream(1), upstream(2), upstream(3));

  @Test
  void oneThatIsHeldBackIsRefusedAtOnceAndToldForHowLong() {
    box.trials.untilNext = Optional.of(Duration.ofMinutes(9));
    endElsewhere(box, "a", "b", "c");

    box.send("r1", NO_PIECES);

    assertThat(box.answers).containsExactly("QUARANTINED 540000");
    assertThat(box.caller.hasNoCalls()).isTrue();
  }

  @Test
  void noStageWorkIsBegunForIt() {
    RelayInVirtualTime staged = new RelayInVirtualTime(RelayInVirtualTime.STAGED, upstream(1));
    endElsewhere(staged, "a", "b", "c");

    staged.send("r1", List.of(2));

    assertThat(staged.stages.groups).isEmpty();
    assertThat(staged.answers).containsExactly("QUARANTINED 3600000");
  }

  @Test
  void stageWorkThatWaitsIsGivenUpAtTheMomentOfTheVerdict() {
    RelayInVirtualTime staged = new RelayInVirtualTime(RelayInVirtualTime.STAGED, upstream(1));
    staged.send("r1", List.of(2));
    assertThat(staged.stages.groups).hasSize(1);

    endElsewhere(staged, "a", "b", "c");

    assertThat(staged.answers).containsExactly("QUARANTINED 3600000");
    assertThat(staged.stages.cancelled).contains("service");
    assertThat(staged.caller.hasNoCalls()).isTrue();
  }

  @Test
  void theFirstEndUnderARequestDoesNotHoldItUp() throws Exception {
    box.send("r1", NO_PIECES);
    breakOff(box.caller.nextCall());

    assertThat(box.caller.nextCall().target()).isEqualTo(upstream(2));
    assertThat(box.answers).isEmpty();
  }

  @Test
  void oneUnderWhichOthersHaveEndedIsSentOnOnlyOnceItIsKnownWhetherThisIsOneMore()
      throws Exception {
    endElsewhere(box, "a", "b");
    box.send("r1", NO_PIECES);
    breakOff(box.caller.nextCall());
    assertThat(box.caller.hasNoCalls()).isTrue();

    box.caller.completeProbes();
    box.run();

    assertThat(box.caller.hasNoCalls()).isTrue();
    assertThat(box.answers).containsExactly("BROKEN ");
    assertThat(box.quarantine.isQuarantined(box.fingerprint())).isTrue();
  }

  @Test
  void whereOnlyTheConnectionWasLostItIsSentToAnother() throws Exception {
    endElsewhere(box, "a", "b");
    box.caller.setProbeResult(upstream(1), LivenessResult.THERE);
    box.send("r1", NO_PIECES);
    breakOff(box.caller.nextCall());

    box.caller.completeProbes();
    box.run();

    FakeUpstreamCaller.Call second = box.caller.nextCall();
    assertThat(second.target()).isEqualTo(upstream(2));
    second.respond(200, "ok");
    assertThat(box.answers).containsExactly("200");
    assertThat(box.quarantine.crashCount(box.fingerprint())).isZero();
  }

  /** A box that is cut off takes nobody to have ended. */
  @Test
  void anUpstreamThatIsSilentHasNotEnded() throws Exception {
    box.caller.setProbeResult(upstream(1), LivenessResult.SILENT);
    box.send("r1", NO_PIECES);
    breakOff(box.caller.nextCall());
    box.caller.completeProbes();

    assertThat(box.quarantine.crashCount(box.fingerprint())).isZero();
  }

  /** It cuts what still runs there when it ends, and that says nothing of the requests. */
  @Test
  void anUpstreamThatEndsAsPlannedHasNotCrashed() throws Exception {
    box.send("r1", NO_PIECES);
    box.upstreams.update(2, List.of(), List.of("u1"));
    breakOff(box.caller.nextCall());
    box.caller.completeProbes();

    assertThat(box.quarantine.crashCount(box.fingerprint())).isZero();
    assertThat(box.caller.probed()).isEmpty();
    assertThat(box.caller.nextCall().target()).isEqualTo(upstream(2));
  }

  @Test
  void aTrialIsOneSendAndAWholeAnswerLetsTheRequestGo() throws Exception {
    endElsewhere(box, "a", "b", "c");
    box.trials.untilNext = Optional.of(Duration.ZERO);
    box.trials.granted = true;

    box.send("r1", NO_PIECES);
    box.caller.nextCall().respond(200, "ok");

    assertThat(box.answers).containsExactly("200");
    assertThat(box.quarantine.isQuarantined(box.fingerprint())).isFalse();
  }

  @Test
  void aTrialThatEndsItsUpstreamIsNotFollowedByAnotherSend() throws Exception {
    endElsewhere(box, "a", "b", "c");
    box.trials.untilNext = Optional.of(Duration.ZERO);
    box.trials.granted = true;
    box.send("r1", NO_PIECES);
    breakOff(box.caller.nextCall());
    box.caller.completeProbes();
    box.run();

    assertThat(box.caller.hasNoCalls()).isTrue();
    assertThat(box.answers).containsExactly("BROKEN ");
  }

  @Test
  void aTrialThatIsGivenToAnotherBoxIsARefusal() {
    endElsewhere(box, "a", "b", "c");
    box.trials.untilNext = Optional.of(Duration.ZERO);

    box.send("r1", NO_PIECES);

    assertThat(box.answers).containsExactly("QUARANTINED 0");
    assertThat(box.caller.hasNoCalls()).isTrue();
  }

  private void breakOff(FakeUpstreamCaller.Call call) {
    call.fail(CallFailure.BROKEN);
    box.run();
  }

  private static void endElsewhere(RelayInVirtualTime relay, String... starts) {
    for (String start : starts) {
      relay.quarantine.recordCrash(relay.fingerprint(), start);
    }
    relay.run();
  }
}
