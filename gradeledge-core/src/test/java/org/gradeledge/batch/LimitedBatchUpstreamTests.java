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

/** Calls for stage work and releases of results where upstreams take few, in virtual time. */
class LimitedBatchUpstreamTests {

  private static final UpstreamRecord FIRST = upstream(1);
  private static final UpstreamRecord SECOND = upstream(2);
  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000, 60_000);

  /** Admits what a test says, and counts what is sent. */
  private static final class ManualSendingRule implements SendLimiter {

    private final Map<String, Integer> left = new HashMap<>();
    private double perSecond = Double.POSITIVE_INFINITY;
    private double wait = 500;
    private final Set<String> nothingNow = new HashSet<>();

    @Override
    public boolean admits(UpstreamRecord upstream) {
      return left.getOrDefault(upstream.id(), 1) > 0;
    }

    @Override
    public void recordSent(UpstreamRecord upstream) {
      left.computeIfPresent(upstream.id(), (id, count) -> count - 1);
    }

    @Override
    public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
      return admits(upstream) ? 0 : wait;
    }

    @Override
    public double requestsPerSecond(UpstreamRecord upstream) {
      return nothingNow.contains(upstream.id()) ? 0 : perSecond;
    }
  }

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final ManualSendingRule rule = new ManualSendingRule();
  private final BatchCoordinator coordinator =
      BatchCoordinator.builder()
          .box("box", channel.eventLoop(), clock)
          .upstreams(upstreams, service -> Optional.of(LIMITS))
          .calls(caller, new FakeStageProtocol())
          .loadAndRetries(
              new UpstreamLoads(clock, EventLogs.silent()),
              new RetryBudget(clock, 0, 10, Duration.ofSeconds(10), () -> 1),
              EventLogs.silent())
          .sendingRule(rule)
          .build();

  LimitedBatchUpstreamTests() {
    channel.freezeTime();
  }

  @Test
  void anUpstreamThatTakesNoMoreNowIsPassedOver() throws Exception {
    upstreams.replaceAll(1, List.of(FIRST, SECOND));
    rule.left.put(FIRST.id(), 0);

    coordinator.submit(StageGroups.group("a", 2), result -> {});

    assertThat(caller.nextCall().target()).isEqualTo(SECOND);
  }

  @Test
  void piecesWaitForOneThatTakesThemLater() throws Exception {
    upstreams.replaceAll(1, List.of(FIRST));
    rule.left.put(FIRST.id(), 0);
    coordinator.submit(StageGroups.group("a", 2), result -> {});
    pass(300);
    assertThat(caller.hasNoCalls()).isTrue();

    rule.left.put(FIRST.id(), 1);
    pass(50);

    assertThat(caller.nextCall().target()).isEqualTo(FIRST);
    assertThat(rule.left).containsEntry(FIRST.id(), 0);
  }

  @Test
  void releasesWaitAndGoTogether() throws Exception {
    upstreams.replaceAll(1, List.of(FIRST));
    rule.left.put(FIRST.id(), 0);
    coordinator.release(List.of("10.0.0.1:1/x"));
    pass(150);
    coordinator.release(List.of("10.0.0.1:1/y"));
    pass(150);
    assertThat(caller.hasNoCalls()).isTrue();

    rule.left.put(FIRST.id(), 1);
    pass(150);

    assertThat(caller.nextCall().body().split(" ")).containsExactly("10.0.0.1:1/x", "10.0.0.1:1/y");
    assertThat(caller.hasNoCalls()).isTrue();
    assertThat(rule.left).containsEntry(FIRST.id(), 0);
  }

  // Guards against results of other upstreams that take room for longer as one takes no releases.
  @Test
  void releasesToOthersDoNotWaitForOneThatTakesNoneNow() throws Exception {
    upstreams.replaceAll(1, List.of(FIRST, SECOND));
    rule.left.put(FIRST.id(), 0);
    coordinator.release(List.of("10.0.0.1:1/x"));
    pass(20);

    coordinator.release(List.of("10.0.0.1:2/y"));
    pass(10);

    assertThat(caller.nextCall().target()).isEqualTo(SECOND);
  }

  // Guards against releases that gather without end for one that takes none for a long time.
  @Test
  void releasesAreDroppedWhereTheResultsAreForgottenBeforeTheyCouldGo() {
    upstreams.replaceAll(1, List.of(FIRST));
    rule.left.put(FIRST.id(), 0);
    rule.wait = 60_000;
    coordinator.release(List.of("10.0.0.1:1/x"));
    pass(150);

    rule.left.put(FIRST.id(), 1);
    pass(150);

    assertThat(caller.hasNoCalls()).isTrue();
  }

  @Test
  void oneThatTakesNothingNowIsNoPartOfTheForecastWhileAnotherTakesCalls() {
    upstreams.replaceAll(1, List.of(FIRST, SECOND));
    coordinator.submit(StageGroups.group("a", 40), result -> {});
    long both = coordinator.backlogMillisOf("service", 9);

    rule.nothingNow.add(FIRST.id());
    long one = coordinator.backlogMillisOf("service", 9);
    rule.nothingNow.add(SECOND.id());
    long none = coordinator.backlogMillisOf("service", 9);

    assertThat(one).isGreaterThan(both * 3 / 2);
    assertThat(none).isLessThan(both + 1_000);
  }

  @Test
  void whatWaitsForLimitedUpstreamsKeepsThemBusyForLonger() {
    upstreams.replaceAll(1, List.of(FIRST, SECOND));
    rule.left.put(FIRST.id(), 0);
    rule.left.put(SECOND.id(), 0);
    coordinator.submit(StageGroups.group("a", 40), result -> {});
    long unlimited = coordinator.backlogMillisOf("service", 9);

    rule.perSecond = 1;

    assertThat(coordinator.backlogMillisOf("service", 9)).isGreaterThan(5 * unlimited);
  }

  private void pass(long millis) {
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
