package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests in flight on a box that is stopping. */
class StoppingBoxTests {

  private final SimulatedRelay box =
      new SimulatedRelay(SimulatedRelay.STAGED, SimulatedRelay.upstream(1));

  // Guards against closing the connection of a request in stage work without an answer.
  @Test
  void refusesUnsentRequests() {
    box.send("waits", List.of(2));
    assertThat(box.answers).isEmpty();

    box.handler().refuseUnsent();
    box.runPendingTasks();

    assertThat(box.answers).hasSize(1).first().asString().startsWith("STOPPING ");
  }

  @Test
  void completesSentRequests() throws Exception {
    box.send("sent", List.of());

    box.handler().refuseUnsent();
    box.runPendingTasks();
    assertThat(box.answers).isEmpty();
    box.upstreamCaller.nextCall().respond(200, "x");
    box.runPendingTasks();

    assertThat(box.answers).containsExactly("200");
  }

  // Guards against requests without an answer whose connection is cut when the process ends.
  @Test
  void answersRequestsThatItsUpstreamHasNotAnswered() {
    box.send("silent", List.of());

    box.handler().processEnds();
    box.runPendingTasks();

    assertThat(box.answers).hasSize(1).first().asString().startsWith("BROKEN ");
  }

  // Guards against requests that are taken after the signal and cut when the process ends.
  @Test
  void refusesRequestsThatMayOutlastTheStop() {
    box.stopIn(SimulatedRelay.PLAIN.timeoutMillis() - 1);

    box.send("late", List.of());

    assertThat(box.answers).hasSize(1).first().asString().startsWith("OUTLASTS_STOP ");
  }

  @Test
  void acceptsRequestsWhoseTimeoutEndsBeforeTheStop() throws Exception {
    box.stopIn(SimulatedRelay.PLAIN.timeoutMillis());

    box.send("short", List.of());
    box.upstreamCaller.nextCall().respond(200, "x");
    box.runPendingTasks();

    assertThat(box.answers).containsExactly("200");
  }

  // Guards against refusals of requests that are answered long before the process ends.
  @Test
  void acceptsRequestsOfRoutesThatAnswerQuickly() throws Exception {
    answerIn(100);
    box.stopIn(500);

    answerIn(100);

    assertThat(box.answers).containsExactly("200", "200");
  }

  @Test
  void refusesRequestsOfRoutesThatTookLonger() throws Exception {
    answerIn(100);
    answerIn(450);
    box.stopIn(500);

    box.send("late", List.of());

    assertThat(box.answers).hasSize(3).last().asString().startsWith("OUTLASTS_STOP ");
  }

  // Guards against an estimate that knows only the quickest of the requests in flight.
  @Test
  void refusesRequestsOfRoutesWithOlderRequestsInFlight() throws Exception {
    answerIn(100);
    box.send("long", List.of());
    box.advance(450);
    box.stopIn(500);

    box.send("late", List.of());

    assertThat(box.answers).hasSize(2).last().asString().startsWith("OUTLASTS_STOP ");
  }

  private void answerIn(long millis) throws Exception {
    box.send("answered", List.of());
    box.advance(millis);
    box.upstreamCaller.nextCall().respond(200, "x");
    box.runPendingTasks();
  }
}
