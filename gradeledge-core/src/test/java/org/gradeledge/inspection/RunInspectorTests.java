package org.gradeledge.inspection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.limit.SendLimiter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RunInspectorTests {

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 8, false);
  private static final RunReport REPORT = new RunReport(2, Map.of("r1", 4L));

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final FakeRunReports reports = new FakeRunReports(caller);
  private final RunInspector inspector =
      new RunInspector(
          caller, reports, SendLimiter.UNLIMITED, channel.eventLoop(), EventLogs.silent());
  private final List<Optional<RunReport>> received = new ArrayList<>();

  @BeforeEach
  void freezeTime() {
    channel.freezeTime();
  }

  // Guards against a report for each silent stream of an upstream.
  @Test
  void concurrentInspectionsShareReport() throws Exception {
    inspector.inspect(UPSTREAM, received::add);
    inspector.inspect(UPSTREAM, received::add);

    caller.nextCall();
    assertThat(caller.hasNoCalls()).isTrue();
  }

  @Test
  void returnsReport() throws Exception {
    inspector.inspect(UPSTREAM, received::add);
    reports.answer(upstream -> REPORT);
    assertThat(received).containsExactly(Optional.of(REPORT));

    inspector.inspect(UPSTREAM, received::add);
    reports.answer(upstream -> REPORT);
    assertThat(received).hasSize(2);
  }

  // Guards against waiting for ever for an upstream that does not answer.
  @Test
  void upstreamThatDoesNotAnswerReportsNothing() throws Exception {
    inspector.inspect(UPSTREAM, received::add);
    FakeUpstreamCaller.Call call = caller.nextCall();

    advance(RunInspector.TIMEOUT_MILLIS - 1);
    assertThat(received).isEmpty();
    advance(1);
    assertThat(received).containsExactly(Optional.empty());
    assertThat(call.isCancelled()).isTrue();
  }

  @Test
  void upstreamThatCannotBeReachedReportsNothing() throws Exception {
    inspector.inspect(UPSTREAM, received::add);
    caller.nextCall().fail(CallFailure.NOT_CONNECTED);
    advance(RunInspector.TIMEOUT_MILLIS);

    assertThat(received).containsExactly(Optional.empty());
  }

  // Guards against requests for reports beyond the limit of an upstream.
  @Test
  void asksNothingThatTheUpstreamDoesNotAccept() {
    SendLimiter closed = new ClosedLimiter();
    RunInspector limited =
        new RunInspector(caller, reports, closed, channel.eventLoop(), EventLogs.silent());
    limited.inspect(UPSTREAM, received::add);
    assertThat(received).isEmpty();
    channel.runPendingTasks();

    assertThat(received).containsExactly(Optional.empty());
    assertThat(caller.hasNoCalls()).isTrue();
  }

  private void advance(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  /** Admits nothing. */
  private static final class ClosedLimiter implements SendLimiter {

    @Override
    public boolean admits(UpstreamRecord upstream) {
      return false;
    }

    @Override
    public void recordSent(UpstreamRecord upstream) {
      throw new AssertionError("a request was sent");
    }

    @Override
    public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
      return Double.POSITIVE_INFINITY;
    }

    @Override
    public double requestsPerSecond(UpstreamRecord upstream) {
      return 0;
    }
  }
}
