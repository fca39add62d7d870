package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.limit.BackoffAnnouncement;
import org.gradeledge.limit.UpstreamBackoffs;
import org.junit.jupiter.api.Test;

/** What becomes of requests where upstreams have asked for a time without any. */
class BackingOffUpstreamTests {

  private static final List<Integer> NO_PIECES = List.of();

  private UpstreamBackoffs backoffs;

  @Test
  void sendsToUpstreamThatIsNotBackingOff() throws Exception {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, 1, 2);
    requestBackoff(1, 3_000);

    box.send("r1", NO_PIECES);

    assertThat(box.upstreamCaller.nextCall().target()).isEqualTo(upstream(2));
  }

  @Test
  void refusesAtOnceWithRetryAfterWhenAllUpstreamsBackOff() {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, 1, 2);
    requestBackoff(1, 60_000);
    requestBackoff(2, 1_400);

    box.send("r1", NO_PIECES);

    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    assertThat(box.answers).hasSize(1);
    String[] answer = box.answers.get(0).split(" ");
    assertThat(answer[0]).isEqualTo("UPSTREAMS_LIMITED");
    assertThat(Long.parseLong(answer[1])).isBetween(1_400L, 2_100L);
  }

  @Test
  void refusesWithRetryAfterWhenAllAttemptsAreRejected() throws Exception {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, 1, 2);
    box.send("r1", NO_PIECES);
    requestBackoff(1, 60_000);
    box.upstreamCaller.nextCall().fail(CallFailure.HELD_OFF);
    box.runPendingTasks();
    requestBackoff(2, 1_400);

    box.upstreamCaller.nextCall().fail(CallFailure.HELD_OFF);
    box.runPendingTasks();

    assertThat(box.answers).hasSize(1);
    String[] answer = box.answers.get(0).split(" ");
    assertThat(answer[0]).isEqualTo("UPSTREAMS_FULL");
    assertThat(Long.parseLong(answer[1])).isBetween(1_400L, 2_100L);
  }

  @Test
  void waitsForBackoffThatEndsSoon() throws Exception {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, 1);
    requestBackoff(1, 100);

    box.send("r1", NO_PIECES);
    box.advance(99);
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    assertThat(box.answers).isEmpty();
    box.advance(25);

    assertThat(box.upstreamCaller.nextCall().target()).isEqualTo(upstream(1));
  }

  @Test
  void sendsWaitingRequestsGraduallyAndRefusesOthers() {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, 1);
    requestBackoff(1, 100);

    for (int request = 0; request < 40; request++) {
      box.send("r" + request, NO_PIECES);
    }

    int refused = box.answers.size();
    assertThat(refused).isPositive();
    for (int step = 0; step < 40; step++) {
      box.advance(10);
    }
    assertThat(box.answers).as("those that wait are sent").hasSize(refused);
  }

  @Test
  void startsNoStageWorkWhenNoUpstreamAcceptsInTime() {
    SimulatedRelay box = box(SimulatedRelay.STAGED, 1, 2);
    requestBackoff(1, 60_000);
    requestBackoff(2, 60_000);

    box.send("r1", List.of(2));

    assertThat(box.stageWorkClient.groups).isEmpty();
    assertThat(box.answers).hasSize(1).first().asString().startsWith("UPSTREAMS_LIMITED ");
  }

  @Test
  void retriesUnsentAttemptAtAnotherUpstream() throws Exception {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, 1, 2);
    box.send("r1", NO_PIECES);
    requestBackoff(1, 3_000);

    box.upstreamCaller.nextCall().fail(CallFailure.HELD_OFF);
    box.runPendingTasks();

    assertThat(box.upstreamCaller.nextCall().target()).isEqualTo(upstream(2));
    assertThat(box.answers).isEmpty();
  }

  @Test
  void waitsForUpstreamWithShortestBackoff() {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, 1, 2);
    requestBackoff(1, 100);
    requestBackoff(2, 60_000);

    box.send("r1", NO_PIECES);

    assertThat(box.answers).isEmpty();
  }

  private SimulatedRelay box(RouteDefinition route, int... upstreams) {
    UpstreamRecord[] known = new UpstreamRecord[upstreams.length];
    for (int i = 0; i < upstreams.length; i++) {
      known[i] = upstream(upstreams[i]);
    }
    return new SimulatedRelay(
        clock -> {
          backoffs = new UpstreamBackoffs(clock, EventLogs.silent());
          return backoffs;
        },
        route,
        known);
  }

  private void requestBackoff(int number, long millis) {
    backoffs.onAnswer(upstream(number), BackoffAnnouncement.requested(Duration.ofMillis(millis)));
  }

  private static UpstreamRecord upstream(int number) {
    return SimulatedRelay.upstream(number);
  }
}
