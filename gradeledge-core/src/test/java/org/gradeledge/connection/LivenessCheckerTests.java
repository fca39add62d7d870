package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.Test;

class LivenessCheckerTests {

  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final LivenessChecker ends = new LivenessChecker(caller, upstream -> upstream.leaving());
  private final List<LivenessResult> heard = new ArrayList<>();

  @Test
  void allThatAnUpstreamTookAlongShareOneQuestion() {
    ends.check(upstream(1), heard::add);
    ends.check(upstream(1), heard::add);
    assertThat(heard).isEmpty();

    caller.completeProbes();

    assertThat(heard).containsExactly(LivenessResult.REFUSED, LivenessResult.REFUSED);
    assertThat(caller.probed()).containsExactly(upstream(1));
  }

  @Test
  void othersAreAskedAboutForThemselvesAndTheSameOneAnewLater() {
    ends.check(upstream(1), heard::add);
    ends.check(upstream(2), heard::add);
    caller.completeProbes();
    caller.setProbeResult(upstream(1), LivenessResult.THERE);
    ends.check(upstream(1), heard::add);
    caller.completeProbes();

    assertThat(heard)
        .containsExactly(LivenessResult.REFUSED, LivenessResult.REFUSED, LivenessResult.THERE);
  }

  @Test
  void oneThatHasLeftIsNotAsked() {
    ends.check(new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, true), heard::add);

    assertThat(heard).containsExactly(LivenessResult.LEFT);
    assertThat(caller.probed()).isEmpty();
  }

  private static UpstreamRecord upstream(int number) {
    return new UpstreamRecord("u" + number, "service", "10.0.0.1", number, "zone", 1, false);
  }
}
