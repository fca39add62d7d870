package org.gradeledge.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.PipelineFixture;
import org.gradeledge.configuration.UpstreamDefinition;
import org.gradeledge.upstream.LoadReport;
import org.junit.jupiter.api.Test;

class UpstreamStateTests {

  private long nanos;
  private final PipelineFile file = PipelineFixture.file();
  private final UpstreamDirectory directory = new UpstreamDirectory(() -> nanos);
  private final UpstreamDefinition definition = file.upstreams().get(0);
  private final UpstreamState state = directory.state(definition);

  @Test
  void anOlderReportDoesNotUndoALeave() {
    state.applyReport(report(1, 5, true));
    state.applyReport(report(1, 4, false));
    state.applyReport(report(1, 6, false));
    assertThat(state.isLeaving()).isTrue();
    state.applyReport(report(2, 1, false));
    assertThat(state.isLeaving()).isFalse();
    state.applyReport(report(1, 9, true));
    assertThat(state.isLeaving()).isFalse();
  }

  @Test
  void aPeersWordOfAnOldIncarnationDoesNotCount() {
    state.applyReport(report(4, 1, false));
    state.markLeaving(3);
    assertThat(state.isLeaving()).isFalse();
    state.markLeaving(4);
    assertThat(state.isLeaving()).isTrue();
  }

  @Test
  void aLeavingUpstreamIsNeverChosen() {
    Router router = new Router(directory, RoutingPolicy.TWO_CHOICES.strategy("sofia-1"));
    assertThat(router.route(file, file.stages().get(0), Set.of())).contains(state);
    state.markLeaving();
    assertThat(router.route(file, file.stages().get(0), Set.of())).isEmpty();
  }

  @Test
  void failuresInARowEjectForAWhileButNotTheLastOne() {
    fail(3);
    assertThat(state.isEjected()).isTrue();
    Router router = new Router(directory, RoutingPolicy.LEAST_IN_FLIGHT.strategy("sofia-1"));
    assertThat(router.route(file, file.stages().get(0), Set.of())).contains(state);
    nanos += Duration.ofSeconds(1).toNanos();
    assertThat(state.isEjected()).isFalse();
    fail(1);
    nanos += Duration.ofSeconds(1).toNanos();
    assertThat(state.isEjected()).isTrue();
  }

  @Test
  void othersLoadCountsForLessAsTheReportAges() {
    state.applyReport(report(1, 1, false));
    Duration halfLife = Duration.ofNanos(100);
    assertThat(state.otherBoxesInFlight(halfLife)).isEqualTo(8);
    nanos = 100;
    assertThat(state.otherBoxesInFlight(halfLife)).isEqualTo(4);
  }

  private void fail(int times) {
    for (int i = 0; i < times; i++) {
      state.recordCallStarted();
      state.recordCallFailed();
    }
  }

  private static LoadReport report(long incarnation, long sequence, boolean leaving) {
    return new LoadReport(incarnation, sequence, 6, 2, leaving, List.of());
  }
}
