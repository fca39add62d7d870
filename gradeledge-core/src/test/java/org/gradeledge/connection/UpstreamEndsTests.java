package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.Test;

class UpstreamEndsTests {

  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamEnds ends = new UpstreamEnds(caller, upstream -> upstream.leaving());
  private final List<UpstreamProof> heard = new ArrayList<>();

  @Test
  void allThatAnUpstreamTookAlongShareOneQuestion() {
    ends.prove(upstream(1), heard::add);
    ends.prove(upstream(1), heard::add);
    assertThat(heard).isEmpty();

    caller.answerProbes();

    assertThat(heard).containsExactly(UpstreamProof.REFUSED, UpstreamProof.REFUSED);
    assertThat(caller.probed()).containsExactly(upstream(1));
  }

  @Test
  void othersAreAskedAboutForThemselvesAndTheSameOneAnewLater() {
    ends.prove(upstream(1), heard::add);
    ends.prove(upstream(2), heard::add);
    caller.answerProbes();
    caller.setProof(upstream(1), UpstreamProof.THERE);
    ends.prove(upstream(1), heard::add);
    caller.answerProbes();

    assertThat(heard)
        .containsExactly(UpstreamProof.REFUSED, UpstreamProof.REFUSED, UpstreamProof.THERE);
  }

  @Test
  void oneThatHasLeftIsNotAsked() {
    ends.prove(new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, true), heard::add);

    assertThat(heard).containsExactly(UpstreamProof.LEFT);
    assertThat(caller.probed()).isEmpty();
  }

  private static UpstreamRecord upstream(int number) {
    return new UpstreamRecord("u" + number, "service", "10.0.0.1", number, "zone", 1, false);
  }
}
