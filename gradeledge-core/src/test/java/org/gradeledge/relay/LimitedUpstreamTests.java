package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gradeledge.relay.RelayInVirtualTime.upstream;

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

/** What becomes of requests where upstreams take few. */
class LimitedUpstreamTests {

  private static final List<Integer> NO_PIECES = List.of();

  private UpstreamLimits limits;

  @Test
  void aRequestGoesToOneThatNamesNoLimitWithoutWaiting() throws Exception {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, upstream(1), upstream(2));
    name(upstream(1), 1);

    box.send("r1", NO_PIECES);

    assertThat(box.caller.nextCall().target()).isEqualTo(upstream(2));
  }

  @Test
  void aRetryThatOnlyALimitedOneIsLeftForEndsWithWhatHappenedAndNotWithRefused() throws Exception {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, upstream(1), upstream(2));
    name(upstream(1), 0.2);
    box.send("r1", NO_PIECES);

    box.caller.nextCall().fail(CallFailure.BROKEN);
    box.run();

    assertThat(box.answers).containsExactly("BROKEN ");
    assertThat(box.caller.hasNoCalls()).isTrue();
  }

  @Test
  void whereAllNameLimitsWhatCannotBeInTimeIsRefusedAtOnce() {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, upstream(1));
    name(upstream(1), 1);

    box.send("r1", NO_PIECES);

    assertThat(box.answers).hasSize(1).first().asString().startsWith("UPSTREAMS_LIMITED ");
    assertThat(box.caller.hasNoCalls()).isTrue();
  }

  @Test
  void whatIsItsTurnSoonWaitsForIt() throws Exception {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, upstream(1));
    name(upstream(1), 20);

    box.send("r1", NO_PIECES);
    assertThat(box.caller.hasNoCalls()).isTrue();
    box.pass(100);

    assertThat(box.caller.nextCall().target()).isEqualTo(upstream(1));
    assertThat(box.answers).isEmpty();
  }

  @Test
  void noMoreWaitThanCanBeInTime() {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, upstream(1));
    name(upstream(1), 20);

    for (int request = 0; request < 40; request++) {
      box.send("r" + request, NO_PIECES);
    }

    int refused = box.answers.size();
    assertThat(refused).isBetween(34, 37);
    box.pass(400);
    assertThat(box.answers).as("those that wait are sent").hasSize(refused);
  }

  @Test
  void aLaterRequestDoesNotTakeTheTurnOfOneThatWaits() throws Exception {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, upstream(1));
    name(upstream(1), 20);
    box.send("first", NO_PIECES);
    box.suspend(60);

    box.send("second", NO_PIECES);
    assertThat(box.caller.hasNoCalls()).isTrue();
    box.pass(25);

    box.caller.nextCall().respond(200, "x");
    box.run();
    assertThat(box.answers).hasSize(1);
  }

  @Test
  void noStageWorkIsBegunWhereNoUpstreamTakesTheRequestInTime() {
    RelayInVirtualTime box = box(RelayInVirtualTime.STAGED, upstream(1));
    name(upstream(1), 0.5);

    box.send("r1", List.of(2));

    assertThat(box.stages.groups).isEmpty();
    assertThat(box.answers).hasSize(1).first().asString().startsWith("UPSTREAMS_LIMITED ");
  }

  @Test
  void requestsWhoseStageWorkIsUnderWayCountBeforeThoseThatComeLater() {
    RelayInVirtualTime box = box(RelayInVirtualTime.STAGED, upstream(1));
    name(upstream(1), 4);

    for (int request = 0; request < 20; request++) {
      box.send("r" + request, List.of(2));
    }

    assertThat(box.stages.groups).hasSizeLessThanOrEqualTo(3);
  }

  @Test
  void oneWhoseCallerHasGoneWhileItWaitedTakesNoTurn() {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, upstream(1));
    name(upstream(1), 20);
    box.send("r1", NO_PIECES);

    box.pass(1);
    box.callerGone();
    box.pass(500);

    assertThat(box.caller.hasNoCalls()).isTrue();
  }

  private RelayInVirtualTime box(RouteDefinition route, UpstreamRecord... upstreams) {
    return new RelayInVirtualTime(clock -> rule(clock, upstreams), route, upstreams);
  }

  private SendLimiter rule(MonotonicClock clock, UpstreamRecord... upstreams) {
    limits = new UpstreamLimits(clock, EventLogs.silent(), () -> List.of(upstreams));
    return new UpstreamRateLimiter(
        clock, limits, start -> Optional.of(new BoxRank(0, 1)), service -> false);
  }

  private void name(UpstreamRecord upstream, double perSecond) {
    limits.onAnswer(upstream, 0, LimitAnnouncement.named(perSecond));
  }
}
