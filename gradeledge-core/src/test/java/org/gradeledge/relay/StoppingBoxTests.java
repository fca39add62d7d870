package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What becomes of the requests of a box that is about to end. */
class StoppingBoxTests {

  private final RelayInVirtualTime box =
      new RelayInVirtualTime(RelayInVirtualTime.STAGED, RelayInVirtualTime.upstream(1));

  // Guards against a request that waits for stage work and is cut without an answer at the end.
  @Test
  void whatNoUpstreamHasGotIsRefused() {
    box.send("waits", List.of(2));
    assertThat(box.answers).isEmpty();

    box.handler().refuseUnsent();
    box.run();

    assertThat(box.answers).hasSize(1).first().asString().startsWith("STOPPING ");
  }

  @Test
  void whatAnUpstreamHasGotGoesOn() throws Exception {
    box.send("sent", List.of());

    box.handler().refuseUnsent();
    box.run();
    assertThat(box.answers).isEmpty();
    box.caller.nextCall().respond(200, "x");
    box.run();

    assertThat(box.answers).containsExactly("200");
  }
}
