package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** Tests calls and releases to upstreams with a request limit, in virtual time. */
class LimitedBatchUpstreamTests {

  private static final UpstreamRecord FIRST = upstream(1);
  private static final UpstreamRecord SECOND = upstream(2);
  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000, 60_000);

  /** Admits the configured number of requests per upstream and counts those sent. */
  private static final class ManualSendLimiter implements SendLimiter {

    private final Map<String, Integer> remaining = new HashMap<>();
    private double perSecond = Double.POSITIVE_INFINITY;
    private double waitMillis = 500;
    private final Set<String> blocked = new HashSet<>();

    @Override
    public boolean admits(UpstreamRecord upstream) {
      return remaining.getOrDefault(upstream.id(), 1) > 0;
    }

    @Override
    public void recordSent(UpstreamRecord upstream) {
      remaining.computeIfPresent(upstream.id(), (id, count) -> count - 1);
    }

    @Override
    public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
      return admits(upstream) ? 0 : waitMillis;
    }

    @Override
    public double requestsPerSecond(UpstreamRecord upstream) {
      return blocked.contains(upstream.id()) ? 0 : perSecond;
    }
  }

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final ManualSendLimiter sendLimiter = new ManualSendLimiter();
  private final BatchCoordinator coordinator =
      BatchCoordinator.builder()
          .box("box", channel.eventLoop(), clock)
          .upstreams(upstreams, service -> Optional.of(LIMITS))
          .calls(caller, new FakeStageProtocol())
          .loadAndRetries(
              new UpstreamLoads(clock, EventLogs.silent()),
              new RetryBudget(clock, 0, 10, Duration.ofSeconds(10), () -> 1),
              EventLogs.silent())
          .sendLimiter(sendLimiter)
          .build();

  LimitedBatchUpstreamTests() {
    channel.freezeTime();
  }

  @Test
  void skipsAnUpstreamThatReachedItsLimit() throws Exception {
    upstreams.replaceAll(1, List.of(FIRST, SECOND));
    sendLimiter.remaining.put(FIRST.id(), 0);

    coordinator.submit(StageGroups.group("a", 2), result -> {});

    assertThat(caller.nextCall().target()).isEqualTo(SECOND);
  }

  @Test
  void piecesWaitUntilTheUpstreamAdmitsThem() throws Exception {
    upstreams.replaceAll(1, List.of(FIRST));
    sendLimiter.remaining.put(FIRST.id(), 0);
    coordinator.submit(StageGroups.group("a", 2), result -> {});
    advance(300);
    assertThat(caller.hasNoCalls()).isTrue();

    sendLimiter.remaining.put(FIRST.id(), 1);
    advance(50);

    assertThat(caller.nextCall().target()).isEqualTo(FIRST);
    assertThat(sendLimiter.remaining).containsEntry(FIRST.id(), 0);
  }

  @Test
  void deferredReleasesAreSentInOneCall() throws Exception {
    upstreams.replaceAll(1, List.of(FIRST));
    sendLimiter.remaining.put(FIRST.id(), 0);
    coordinator.release(List.of("10.0.0.1:1/x"));
    advance(150);
    coordinator.release(List.of("10.0.0.1:1/y"));
    advance(150);
    assertThat(caller.hasNoCalls()).isTrue();

    sendLimiter.remaining.put(FIRST.id(), 1);
    advance(150);

    assertThat(caller.nextCall().body().split(" ")).containsExactly("10.0.0.1:1/x", "10.0.0.1:1/y");
    assertThat(caller.hasNoCalls()).isTrue();
    assertThat(sendLimiter.remaining).containsEntry(FIRST.id(), 0);
  }

  // Guards against results that occupy memory longer because another upstream admits no releases.
  @Test
  void releasesToOtherUpstreamsAreNotDeferred() throws Exception {
    upstreams.replaceAll(1, List.of(FIRST, SECOND));
    sendLimiter.remaining.put(FIRST.id(), 0);
    coordinator.release(List.of("10.0.0.1:1/x"));
    advance(20);

    coordinator.release(List.of("10.0.0.1:2/y"));
    advance(10);

    assertThat(caller.nextCall().target()).isEqualTo(SECOND);
  }

  // Guards against unbounded growth of releases for an upstream that admits none.
  @Test
  void releasesAreDroppedIfTheResultsExpireFirst() {
    upstreams.replaceAll(1, List.of(FIRST));
    sendLimiter.remaining.put(FIRST.id(), 0);
    sendLimiter.waitMillis = 60_000;
    coordinator.release(List.of("10.0.0.1:1/x"));
    advance(150);

    sendLimiter.remaining.put(FIRST.id(), 1);
    advance(150);

    assertThat(caller.hasNoCalls()).isTrue();
  }

  @Test
  void aBlockedUpstreamIsExcludedFromTheForecastWhileAnotherAdmitsCalls() {
    upstreams.replaceAll(1, List.of(FIRST, SECOND));
    coordinator.submit(StageGroups.group("a", 40), result -> {});
    long withBoth = coordinator.backlogMillisOf("service", 9);

    sendLimiter.blocked.add(FIRST.id());
    long withOne = coordinator.backlogMillisOf("service", 9);
    sendLimiter.blocked.add(SECOND.id());
    long withNone = coordinator.backlogMillisOf("service", 9);

    assertThat(withOne).isGreaterThan(withBoth * 3 / 2);
    assertThat(withNone).isLessThan(withBoth + 1_000);
  }

  @Test
  void aRequestLimitIncreasesTheBacklog() {
    upstreams.replaceAll(1, List.of(FIRST, SECOND));
    sendLimiter.remaining.put(FIRST.id(), 0);
    sendLimiter.remaining.put(SECOND.id(), 0);
    coordinator.submit(StageGroups.group("a", 40), result -> {});
    long unlimited = coordinator.backlogMillisOf("service", 1);

    sendLimiter.perSecond = 1;

    assertThat(coordinator.backlogMillisOf("service", 1)).isGreaterThan(5 * unlimited);
  }

  private void advance(long millis) {
    for (long step = 0; step < millis; step++) {
      nowMillis++;
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
    }
  }

  private static UpstreamRecord upstream(int port) {
    return new UpstreamRecord("u" + port, "service", "10.0.0.1", port, "zone", 1, false);
  }
}
