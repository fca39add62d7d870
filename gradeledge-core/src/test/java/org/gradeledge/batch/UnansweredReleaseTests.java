package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.BoxLoad;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Releases of results that the upstream does not carry out, in virtual time. */
class UnansweredReleaseTests {

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, false);
  private static final String HANDLE = "10.0.0.1:1/a";
  private static final long RESULT_BYTES = 100;
  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 20, 1, 1_000, 60_000);

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final UpstreamLoads loads = new UpstreamLoads(clock, EventLogs.silent());
  private final BatchCoordinator coordinator =
      BatchCoordinator.builder()
          .box("box", channel.eventLoop(), clock)
          .upstreams(upstreams, service -> Optional.of(LIMITS))
          .calls(caller, new FakeStageProtocol())
          .loadAndRetries(
              loads,
              new RetryBudget(clock, 0, 10, Duration.ofSeconds(10), () -> 1),
              EventLogs.silent())
          .build();

  UnansweredReleaseTests() {
    channel.freezeTime();
    upstreams.replaceAll(1, List.of(UPSTREAM));
  }

  // Guards against a connection that is held for ever by an upstream that has fallen silent.
  @Test
  void releaseWithoutAnswerIsCancelled() throws Exception {
    FakeUpstreamCaller.Call release = release();

    advance(ResultReleaser.TIMEOUT_MILLIS - 1);
    assertThat(release.isCancelled()).isFalse();
    advance(1);

    assertThat(release.isCancelled()).isTrue();
    assertThat(loads.ownLoads()).containsEntry("u1", new BoxLoad(0, RESULT_BYTES));
  }

  // Guards against stage work for memory that a refused release has not freed.
  @ParameterizedTest
  @ValueSource(ints = {421, 429, 500, 503})
  void resultsOfARefusedReleaseStillOccupyMemory(int status) throws Exception {
    release().respond(status, "");

    assertThat(loads.ownLoads()).containsEntry("u1", new BoxLoad(0, RESULT_BYTES));
  }

  @Test
  void releasedResultsOccupyNoMemory() throws Exception {
    release().respond(200, "");

    assertThat(loads.ownLoads()).isEmpty();
  }

  private FakeUpstreamCaller.Call release() throws InterruptedException {
    coordinator.submit(StageGroups.large("a", 1, RESULT_BYTES), result -> {});
    caller.nextCall().respond(200, HANDLE);
    coordinator.release(List.of(HANDLE));
    while (caller.hasNoCalls()) {
      advance(1);
    }
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
