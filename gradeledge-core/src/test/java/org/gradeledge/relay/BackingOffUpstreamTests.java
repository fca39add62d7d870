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
  void aRequestGoesToAnotherOfTheServiceWithoutWaiting() throws Exception {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, 1, 2);
    request(1, 3_000);

    box.send("r1", NO_PIECES);

    assertThat(box.caller.nextCall().target()).isEqualTo(upstream(2));
  }

  @Test
  void whereAllBackOffForLongItIsRefusedAtOnceAndToldWhenTheFirstOfThemTakesRequestsAgain() {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, 1, 2);
    request(1, 60_000);
    request(2, 1_400);

    box.send("r1", NO_PIECES);

    assertThat(box.caller.hasNoCalls()).isTrue();
    assertThat(box.answers).hasSize(1);
    String[] answer = box.answers.get(0).split(" ");
    assertThat(answer[0]).isEqualTo("UPSTREAMS_LIMITED");
    assertThat(Long.parseLong(answer[1])).isBetween(1_400L, 2_100L);
  }

  @Test
  void whereAllThatWereAskedTurnItAwayItIsToldWhenTheFirstOfThemTakesRequestsAgain()
      throws Exception {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, 1, 2);
    box.send("r1", NO_PIECES);
    request(1, 60_000);
    box.caller.nextCall().fail(CallFailure.HELD_OFF);
    box.run();
    request(2, 1_400);

    box.caller.nextCall().fail(CallFailure.HELD_OFF);
    box.run();

    assertThat(box.answers).hasSize(1);
    String[] answer = box.answers.get(0).split(" ");
    assertThat(answer[0]).isEqualTo("UPSTREAMS_FULL");
    assertThat(Long.parseLong(answer[1])).isBetween(1_400L, 2_100L);
  }

  @Test
  void whereTheEndIsNearItWaitsAndIsSentThen() throws Exception {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, 1);
    request(1, 100);

    box.send("r1", NO_PIECES);
    box.pass(99);
    assertThat(box.caller.hasNoCalls()).isTrue();
    assertThat(box.answers).isEmpty();
    box.pass(25);

    assertThat(box.caller.nextCall().target()).isEqualTo(upstream(1));
  }

  @Test
  void whatWaitsIsNotSentAllAtOnceAndTheRestIsRefused() {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, 1);
    request(1, 100);

    for (int request = 0; request < 40; request++) {
      box.send("r" + request, NO_PIECES);
    }

    int refused = box.answers.size();
    assertThat(refused).isPositive();
    for (int step = 0; step < 40; step++) {
      box.pass(10);
    }
    assertThat(box.answers).as("those that wait are sent").hasSize(refused);
  }

  @Test
  void noStageWorkIsBegunWhereNoUpstreamTakesTheRequestInTime() {
    RelayInVirtualTime box = box(RelayInVirtualTime.STAGED, 1, 2);
    request(1, 60_000);
    request(2, 60_000);

    box.send("r1", List.of(2));

    assertThat(box.stages.groups).isEmpty();
    assertThat(box.answers).hasSize(1).first().asString().startsWith("UPSTREAMS_LIMITED ");
  }

  @Test
  void whatStillDialledGoesToAnotherAtOnce() throws Exception {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, 1, 2);
    box.send("r1", NO_PIECES);
    request(1, 3_000);

    box.caller.nextCall().fail(CallFailure.HELD_OFF);
    box.run();

    assertThat(box.caller.nextCall().target()).isEqualTo(upstream(2));
    assertThat(box.answers).isEmpty();
  }

  @Test
  void aLimitedOneBesideThemIsWaitedForNoLongerThanItTakes() {
    RelayInVirtualTime box = box(RelayInVirtualTime.PLAIN, 1, 2);
    request(1, 100);
    request(2, 60_000);

    box.send("r1", NO_PIECES);

    assertThat(box.answers).isEmpty();
  }

  private RelayInVirtualTime box(RouteDefinition route, int... upstreams) {
    UpstreamRecord[] known = new UpstreamRecord[upstreams.length];
    for (int i = 0; i < upstreams.length; i++) {
      known[i] = upstream(upstreams[i]);
    }
    return new RelayInVirtualTime(
        clock -> {
          backoffs = new UpstreamBackoffs(clock, EventLogs.silent());
          return backoffs;
        },
        route,
        known);
  }

  private void request(int number, long millis) {
    backoffs.onAnswer(upstream(number), BackoffAnnouncement.requested(Duration.ofMillis(millis)));
  }

  private static UpstreamRecord upstream(int number) {
    return RelayInVirtualTime.upstream(number);
  }
}
