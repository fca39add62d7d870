package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.Test;

class LivenessCheckerTests {

  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final LivenessChecker checker =
      new LivenessChecker(caller, upstream -> upstream.leaving());
  private final List<LivenessResult> results = new ArrayList<>();

  @Test
  void concurrentChecksOfAnUpstreamShareOneProbe() {
    checker.check(upstream(1), results::add);
    checker.check(upstream(1), results::add);
    assertThat(results).isEmpty();

    caller.completeProbes();

    assertThat(results).containsExactly(LivenessResult.REFUSED, LivenessResult.REFUSED);
    assertThat(caller.probed()).containsExactly(upstream(1));
  }

  @Test
  void otherUpstreamsAndLaterChecksAreProbedSeparately() {
    checker.check(upstream(1), results::add);
    checker.check(upstream(2), results::add);
    caller.completeProbes();
    caller.setProbeResult(upstream(1), LivenessResult.THERE);
    checker.check(upstream(1), results::add);
    caller.completeProbes();

    assertThat(results)
        .containsExactly(LivenessResult.REFUSED, LivenessResult.REFUSED, LivenessResult.THERE);
  }

  @Test
  void upstreamThatHasLeftIsNotProbed() {
    checker.check(
        new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, true), results::add);

    assertThat(results).containsExactly(LivenessResult.LEFT);
    assertThat(caller.probed()).isEmpty();
  }

  private static UpstreamRecord upstream(int number) {
    return new UpstreamRecord("u" + number, "service", "10.0.0.1", number, "zone", 1, false);
  }
}
