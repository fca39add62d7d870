package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What becomes of the requests of a box that is about to end. */
class StoppingBoxTests {

  private final SimulatedRelay box =
      new SimulatedRelay(SimulatedRelay.STAGED, SimulatedRelay.upstream(1));

  // Guards against a request that waits for stage work and is cut without an answer at the end.
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
}
