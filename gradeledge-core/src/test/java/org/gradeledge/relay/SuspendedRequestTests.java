package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gradeledge.relay.SimulatedRelay.upstream;

import java.util.List;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.TestDeployments;
import org.junit.jupiter.api.Test;

/** Timeouts of requests in flight while the machine is suspended, when timers do not advance. */
class SuspendedRequestTests {

  private static final List<Integer> NO_PIECES = List.of();
  private static final long TIMEOUT_MILLIS = 2_000;

  private final SimulatedRelay box =
      new SimulatedRelay(
          TestDeployments.route(SimulatedRelay.HOST, "/path/", Repeatability.ONCE), upstream(1));

  @Test
  void failsOverdueRequestsAfterResume() throws Exception {
    box.send("r1", NO_PIECES);
    FakeUpstreamCaller.Call call = box.upstreamCaller.nextCall();
    box.suspendMachine(TIMEOUT_MILLIS);

    box.handler().expireOverdue();

    assertThat(box.answers).containsExactly("LATE ");
    assertThat(call.isCancelled()).isTrue();
  }

  @Test
  void continuesRequestsWithTimeLeft() throws Exception {
    box.send("r1", NO_PIECES);
    FakeUpstreamCaller.Call call = box.upstreamCaller.nextCall();
    box.suspendMachine(TIMEOUT_MILLIS - 1);

    box.handler().expireOverdue();
    assertThat(box.answers).isEmpty();
    call.respond(200, "ok");

    assertThat(box.answers).containsExactly("200");
  }

  /**
   * Guards against counting the timeout from a timer that has not run since the machine resumed.
   */
  @Test
  void startsTimeoutOfNewRequestAfterResume() throws Exception {
    box.send("r1", NO_PIECES);
    box.upstreamCaller.nextCall();
    box.suspendMachine(10 * TIMEOUT_MILLIS);

    box.send("r2", NO_PIECES);
    box.handler().expireOverdue();

    assertThat(box.answers).containsExactly("LATE ");
    box.upstreamCaller.nextCall().respond(200, "ok");
    assertThat(box.answers).containsExactly("LATE ", "200");
  }
}
