package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gradeledge.relay.RelayInVirtualTime.upstream;

import java.util.List;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.TestDeployments;
import org.junit.jupiter.api.Test;

/** Requests that are under way while the machine is suspended; the timers count none of it. */
class SuspendedRequestTests {

  private static final List<Integer> NO_PIECES = List.of();
  private static final long TIMEOUT_MILLIS = 2_000;

  private final RelayInVirtualTime box =
      new RelayInVirtualTime(
          TestDeployments.route(RelayInVirtualTime.HOST, "/path/", Repeatability.ONCE),
          upstream(1));

  @Test
  void whatIsPastItsTimeIsGivenUpOnWaking() throws Exception {
    box.send("r1", NO_PIECES);
    FakeUpstreamCaller.Call call = box.caller.next();
    box.suspend(TIMEOUT_MILLIS);

    box.handler().wokeUp();

    assertThat(box.answers).containsExactly("LATE ");
    assertThat(call.cancelled()).isTrue();
  }

  @Test
  void whatHasTimeLeftGoesOn() throws Exception {
    box.send("r1", NO_PIECES);
    FakeUpstreamCaller.Call call = box.caller.next();
    box.suspend(TIMEOUT_MILLIS - 1);

    box.handler().wokeUp();
    assertThat(box.answers).isEmpty();
    call.answer(200, "ok");

    assertThat(box.answers).containsExactly("200");
  }

  /** Its time counts from when it came, by the true time: no timer has fired since waking. */
  @Test
  void theFirstRequestAfterWakingHasItsWholeTime() throws Exception {
    box.send("r1", NO_PIECES);
    box.caller.next();
    box.suspend(10 * TIMEOUT_MILLIS);

    box.send("r2", NO_PIECES);
    box.handler().wokeUp();

    assertThat(box.answers).containsExactly("LATE ");
    box.caller.next().answer(200, "ok");
    assertThat(box.answers).containsExactly("LATE ", "200");
  }
}
