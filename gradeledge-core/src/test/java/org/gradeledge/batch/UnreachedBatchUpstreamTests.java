package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** Calls for stage work to upstreams that this box cannot connect to, in virtual time. */
class UnreachedBatchUpstreamTests {

  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000, 60_000);
  private static final long OBSERVED_MILLIS = 1_000;
  private static final int MAX_CALLS_OBSERVED = 12;

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final BatchCoordinator coordinator =
      BatchCoordinator.builder()
          .box("box", channel.eventLoop(), clock)
          .upstreams(upstreams, service -> Optional.of(LIMITS))
          .calls(caller, new FakeStageProtocol())
          .loadAndRetries(
              new UpstreamLoads(clock, EventLogs.silent()),
              new RetryBudget(clock, 0, 10, Duration.ofSeconds(10), () -> 1),
              EventLogs.silent())
          .build();

  UnreachedBatchUpstreamTests() {
    channel.freezeTime();
  }

  // Guards against thousands of calls a second for pieces whose upstreams cannot be connected to.
  @Test
  void callsAreRepeatedAfterAPause() throws Exception {
    list("u1");
    submit();
    int calls = 0;

    for (long step = 0; step < OBSERVED_MILLIS; step++) {
      while (!caller.hasNoCalls()) {
        calls++;
        assertThat(calls).isLessThanOrEqualTo(MAX_CALLS_OBSERVED);
        caller.nextCall().fail(CallFailure.NOT_CONNECTED);
      }
      advance();
    }

    assertThat(calls).isGreaterThan(1);
  }

  // Guards against pieces that wait for the pause of an upstream while another one is free.
  @Test
  void otherUpstreamIsCalledAtOnce() throws Exception {
    list("u1", "u2");
    submit();

    FakeUpstreamCaller.Call first = caller.nextCall();
    first.fail(CallFailure.NOT_CONNECTED);

    assertThat(caller.nextCall().target().id()).isNotEqualTo(first.target().id());
  }

  private void list(String... ids) {
    upstreams.replaceAll(
        1,
        Stream.of(ids)
            .map(id -> new UpstreamRecord(id, "service", "10.0.0.1", 1, "zone", 1, false))
            .toList());
  }

  private void submit() {
    coordinator.submit(StageGroups.group("a", 2), result -> {});
  }

  private void advance() {
    nowMillis++;
    channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
  }
}
