package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** Calls for stage work whose upstream is silent, in virtual time. */
class OverdueCallTests {

  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000, 60_000);
  private static final long OVERDUE_MILLIS = 2_000;
  private static final long LONG_AFTER_DEADLINE_MILLIS = 61_000;

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final List<StageOutcome> outcomes = new ArrayList<>();

  OverdueCallTests() {
    channel.freezeTime();
  }

  // Guards against giving up a call whose pieces may not be computed again: its upstream may only
  // pause.
  @Test
  void callGoesOnIfTheRetryBudgetIsSpent() throws Exception {
    FakeUpstreamCaller.Call call = submit(0);

    advance(OVERDUE_MILLIS);
    assertThat(call.isCancelled()).isFalse();
    assertThat(outcomes).isEmpty();
    call.respond(200, "10.0.0.1:1/0 10.0.0.1:1/1");

    assertThat(outcomes).containsExactly(StageOutcome.MADE);
  }

  @Test
  void callIsGivenUpIfItsPiecesMayBeComputedAgain() throws Exception {
    FakeUpstreamCaller.Call call = submit(10);

    advance(OVERDUE_MILLIS);

    assertThat(call.isCancelled()).isTrue();
    assertThat(caller.hasNoCalls()).isFalse();
  }

  // Guards against waiting for ever on a connection that was lost.
  @Test
  void callEndsOnceNobodyWantsItsResults() throws Exception {
    FakeUpstreamCaller.Call call = submit(0);

    advance(LONG_AFTER_DEADLINE_MILLIS);

    assertThat(call.isCancelled()).isTrue();
  }

  private FakeUpstreamCaller.Call submit(double retryAllowance) throws InterruptedException {
    BatchCoordinator coordinator =
        BatchCoordinator.builder()
            .box("box", channel.eventLoop(), clock)
            .upstreams(upstreams, service -> Optional.of(LIMITS))
            .calls(caller, new FakeStageProtocol())
            .loadAndRetries(
                new UpstreamLoads(clock, EventLogs.silent()),
                new RetryBudget(clock, 0, retryAllowance, Duration.ofSeconds(10), () -> 1),
                EventLogs.silent())
            .build();
    upstreams.replaceAll(
        1, List.of(new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, false)));
    coordinator.submit(StageGroups.group("a", 2), result -> outcomes.add(result.outcome()));
    return caller.nextCall();
  }

  private void advance(long millis) {
    for (long step = 0; step < millis; step++) {
      nowMillis++;
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
    }
  }
}
