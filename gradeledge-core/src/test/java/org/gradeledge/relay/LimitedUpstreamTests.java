package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gradeledge.relay.SimulatedRelay.upstream;

import java.util.List;
import java.util.Optional;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.limit.BoxRank;
import org.gradeledge.limit.LimitAnnouncement;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.limit.UpstreamLimits;
import org.gradeledge.limit.UpstreamRateLimiter;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** Dispatch of requests to upstreams that announce limits. */
class LimitedUpstreamTests {

  private static final List<Integer> NO_PIECES = List.of();

  private UpstreamLimits limits;

  @Test
  void sendsToUpstreamWithoutLimit() throws Exception {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, upstream(1), upstream(2));
    announceLimit(upstream(1), 1);

    box.send("r1", NO_PIECES);

    assertThat(box.upstreamCaller.nextCall().target()).isEqualTo(upstream(2));
  }

  @Test
  void reportsBrokenAttemptWhenOnlyLimitedUpstreamIsLeft() throws Exception {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, upstream(1), upstream(2));
    announceLimit(upstream(1), 0.2);
    box.send("r1", NO_PIECES);

    box.upstreamCaller.nextCall().fail(CallFailure.BROKEN);
    box.runPendingTasks();

    assertThat(box.answers).containsExactly("BROKEN ");
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
  }

  @Test
  void refusesAtOnceWhenLimitsExceedTargetTime() {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, upstream(1));
    announceLimit(upstream(1), 1);

    box.send("r1", NO_PIECES);

    assertThat(box.answers).hasSize(1).first().asString().startsWith("UPSTREAMS_LIMITED ");
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
  }

  @Test
  void waitsForLimitedUpstreamThatAcceptsSoon() throws Exception {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, upstream(1));
    announceLimit(upstream(1), 20);

    box.send("r1", NO_PIECES);
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    box.advance(100);

    assertThat(box.upstreamCaller.nextCall().target()).isEqualTo(upstream(1));
    assertThat(box.answers).isEmpty();
  }

  @Test
  void refusesRequestsThatCannotBeSentInTime() {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, upstream(1));
    announceLimit(upstream(1), 20);

    for (int request = 0; request < 40; request++) {
      box.send("r" + request, NO_PIECES);
    }

    int refused = box.answers.size();
    assertThat(refused).isBetween(34, 37);
    box.advance(400);
    assertThat(box.answers).as("waiting requests are sent").hasSize(refused);
  }

  @Test
  void sendsWaitingRequestBeforeLaterOne() throws Exception {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, upstream(1));
    announceLimit(upstream(1), 20);
    box.send("first", NO_PIECES);
    box.suspendMachine(60);

    box.send("second", NO_PIECES);
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    box.advance(25);

    box.upstreamCaller.nextCall().respond(200, "x");
    box.runPendingTasks();
    assertThat(box.answers).hasSize(1);
  }

  @Test
  void startsNoStageWorkWhenNoUpstreamAcceptsInTime() {
    SimulatedRelay box = box(SimulatedRelay.STAGED, upstream(1));
    announceLimit(upstream(1), 0.5);

    box.send("r1", List.of(2));

    assertThat(box.stageWorkClient.groups).isEmpty();
    assertThat(box.answers).hasSize(1).first().asString().startsWith("UPSTREAMS_LIMITED ");
  }

  @Test
  void countsRequestsWithStageWorkInFlightAsAhead() {
    SimulatedRelay box = box(SimulatedRelay.STAGED, upstream(1));
    announceLimit(upstream(1), 4);

    for (int request = 0; request < 20; request++) {
      box.send("r" + request, List.of(2));
    }

    assertThat(box.stageWorkClient.groups).hasSizeLessThanOrEqualTo(3);
  }

  @Test
  void removesWaitingRequestWhenCallerDisconnects() {
    SimulatedRelay box = box(SimulatedRelay.PLAIN, upstream(1));
    announceLimit(upstream(1), 20);
    box.send("r1", NO_PIECES);

    box.advance(1);
    box.disconnectCaller();
    box.advance(500);

    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
  }

  private SimulatedRelay box(RouteDefinition route, UpstreamRecord... upstreams) {
    return new SimulatedRelay(clock -> sendLimiter(clock, upstreams), route, upstreams);
  }

  private SendLimiter sendLimiter(MonotonicClock clock, UpstreamRecord... upstreams) {
    limits = new UpstreamLimits(clock, EventLogs.silent(), () -> List.of(upstreams));
    return new UpstreamRateLimiter(
        clock, limits, start -> Optional.of(new BoxRank(0, 1)), service -> false);
  }

  private void announceLimit(UpstreamRecord upstream, double perSecond) {
    limits.onAnswer(upstream, 0, LimitAnnouncement.named(perSecond));
  }
}
