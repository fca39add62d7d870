package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.selection.BoxLoad;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class BatchCoordinatorTests {

  private static final long MEMORY_BYTES = 1_000;

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final UpstreamLoads loads =
      new UpstreamLoads(MonotonicClock.system(), EventLogs.silent());
  private final BlockingQueue<StageGroupResult> results = new LinkedBlockingQueue<>();
  private volatile long retentionMillis = 60_000;
  private final BatchCoordinator coordinator = newCoordinator(100);

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void piecesOfSeveralRequestsShareTheNextCallOfABusyUpstream() throws Exception {
    list(upstream("u1", 1, "zone"));
    submit(StageGroups.group("a", 1));
    FakeUpstreamCaller.Call first = caller.nextCall();
    submit(StageGroups.group("b", 2));
    submit(StageGroups.group("c", 2));

    answer(first, "10.0.0.1:1/a0");
    FakeUpstreamCaller.Call second = caller.nextCall();

    assertThat(first.body()).isEqualTo("a:0");
    assertThat(second.body()).isEqualTo("b:0 b:1 c:0 c:1");
  }

  @Test
  void aGroupEndsWithAllResultsInOrder() throws Exception {
    list(upstream("u1", 1, "zone"));
    submit(StageGroups.group("a", 6));
    answer(caller.nextCall(), "10.0.0.1:1/0 10.0.0.1:1/1 10.0.0.1:1/2 10.0.0.1:1/3");
    answer(caller.nextCall(), "10.0.0.1:1/4 10.0.0.1:1/5");

    StageGroupResult result = results.poll(10, TimeUnit.SECONDS);

    assertThat(result.outcome()).isEqualTo(StageOutcome.MADE);
    assertThat(result.handles())
        .containsExactlyElementsOf(IntStream.range(0, 6).mapToObj(i -> "10.0.0.1:1/" + i).toList());
  }

  @Test
  void aFailedCallIsRetriedOnAnotherUpstream() throws Exception {
    list(upstream("u1", 1, "zone"), upstream("u2", 2, "zone"));
    submit(StageGroups.group("a", 2));
    FakeUpstreamCaller.Call first = caller.nextCall();
    loop.submit(() -> first.fail(CallFailure.NOT_CONNECTED)).sync();

    FakeUpstreamCaller.Call second = caller.nextCall();

    assertThat(second.target()).isNotEqualTo(first.target());
    assertThat(second.body()).isEqualTo(first.body());
  }

  @Test
  void aFailedCallWithoutRetryBudgetFailsItsGroups() throws Exception {
    BatchCoordinator withoutBudget = newCoordinator(0);
    list(upstream("u1", 1, "zone"));
    loop.submit(() -> withoutBudget.submit(StageGroups.group("a", 1), results::add)).sync();
    FakeUpstreamCaller.Call call = caller.nextCall();
    loop.submit(() -> call.fail(CallFailure.BROKEN)).sync();

    assertThat(results.poll(10, TimeUnit.SECONDS).outcome()).isEqualTo(StageOutcome.FAILED);
  }

  @Test
  void aMissingInputEndsTheGroupAndReleasesItsOtherResults() throws Exception {
    list(upstream("u1", 1, "zone"));
    submit(StageGroups.group("a", 2));
    answer(caller.nextCall(), "10.0.0.1:1/0 gone");

    assertThat(results.poll(10, TimeUnit.SECONDS).outcome()).isEqualTo(StageOutcome.GONE);
    FakeUpstreamCaller.Call release = caller.nextCall();
    assertThat(release.uri()).isEqualTo("/free");
    assertThat(release.body()).isEqualTo("10.0.0.1:1/0");
  }

  @Test
  void noCallStartsWithoutFreeMemoryForItsResults() throws Exception {
    list(upstream("u1", 1, "zone"));
    submit(StageGroups.large("a", 1, MEMORY_BYTES / 2));
    answer(caller.nextCall(), "10.0.0.1:1/a");
    submit(StageGroups.large("b", 1, MEMORY_BYTES / 2));
    assertThat(results.poll(10, TimeUnit.SECONDS).outcome()).isEqualTo(StageOutcome.MADE);
    assertThat(caller.hasNoCalls()).isTrue();

    loop.submit(() -> coordinator.release(List.of("10.0.0.1:1/a"))).sync();
    FakeUpstreamCaller.Call release = caller.nextCall();
    assertThat(caller.hasNoCalls()).isTrue();
    answer(release, "");

    assertThat(caller.nextCall().body()).isEqualTo("b:0");
  }

  @Test
  void anUpstreamWithCallsOfAPeerIsNotCalledUntilTheyEnd() throws Exception {
    list(upstream("u1", 1, "zone"));
    peerHas("u1", new BoxLoad(1, 0));
    submit(StageGroups.group("a", 1));
    assertThat(caller.hasNoCalls()).isTrue();

    peerHas("u1", new BoxLoad(0, 0));
    submit(StageGroups.group("b", 1));

    assertThat(caller.nextCall().body()).isEqualTo("a:0 b:0");
  }

  @Test
  void memoryOccupiedByResultsOfAPeerCounts() throws Exception {
    list(upstream("u1", 1, "zone"), upstream("u2", 2, "zone"));
    peerHas("u1", new BoxLoad(0, MEMORY_BYTES / 2));
    submit(StageGroups.large("a", 1, MEMORY_BYTES / 2));

    assertThat(caller.nextCall().target().id()).isEqualTo("u2");
  }

  @Test
  void occupiedMemoryIsReportedUntilTheResultsAreReleased() throws Exception {
    list(upstream("u1", 1, "zone"));
    submit(StageGroups.large("a", 1, 100));
    answer(caller.nextCall(), "10.0.0.1:1/a");
    assertThat(loop.submit(loads::ownLoads).get()).containsEntry("u1", new BoxLoad(0, 100));

    loop.submit(() -> coordinator.release(List.of("10.0.0.1:1/a"))).sync();
    answer(caller.nextCall(), "");

    assertThat(loop.submit(loads::ownLoads).get()).isEmpty();
  }

  @Test
  void memoryOfExpiredResultsIsNoLongerReported() throws Exception {
    list(upstream("u1", 1, "zone"));
    retentionMillis = 50;
    submit(StageGroups.large("a", 1, 100));
    answer(caller.nextCall(), "10.0.0.1:1/a");
    results.take();

    while (!loop.submit(loads::ownLoads).get().isEmpty()) {
      loop.submit(coordinator::backlogMillis).sync();
    }
  }

  @Test
  void anUpstreamThatReportsFullMemoryIsNotRetriedImmediately() throws Exception {
    list(upstream("u1", 1, "zone"), upstream("u2", 2, "zone"));
    submit(StageGroups.large("a", 1, 100));
    FakeUpstreamCaller.Call first = caller.nextCall();
    answer(first, "no_room");

    assertThat(caller.nextCall().target()).isNotEqualTo(first.target());
  }

  @Test
  void piecesPreferAFreeUpstreamInTheZoneOfTheirConsumer() throws Exception {
    list(upstream("u1", 1, "zone-1"), upstream("u2", 2, "zone-2"));
    for (int i = 0; i < 5; i++) {
      submit(StageGroups.inZone("a" + i, "zone-2", 1, 60_000));
      FakeUpstreamCaller.Call call = caller.nextCall();
      assertThat(call.target().zone()).isEqualTo("zone-2");
      answer(call, "10.0.0.2:2/" + i);
    }
  }

  @Test
  void piecesUseAnyZoneAfterTheLocalityWait() throws Exception {
    list(upstream("u1", 1, "zone-1"), upstream("u2", 2, "zone-2"));
    submit(StageGroups.inZone("a", "zone-2", 1, 1_500));
    caller.nextCall();
    submit(StageGroups.inZone("b", "zone-2", 1, 1_500));

    assertThat(caller.nextCall().target().zone()).isEqualTo("zone-1");
  }

  @Test
  void piecesWithLargeInputsAndNoZoneStayOnOneUpstream() throws Exception {
    list(upstream("u1", 1, "zone-1"), upstream("u2", 2, "zone-2"));
    submit(StageGroups.inZone("a", "", 6, 60_000));
    FakeUpstreamCaller.Call first = caller.nextCall();
    answer(first, "10.0.0.1:1/0 10.0.0.1:1/1 10.0.0.1:1/2 10.0.0.1:1/3");

    assertThat(caller.nextCall().target()).isEqualTo(first.target());
  }

  @Test
  void aFirstGroupThatWouldMissItsTargetIsRefusedWithARetryDelay() throws Exception {
    list(upstream("u1", 1, "zone"));
    for (int i = 0; i < 50; i++) {
      submit(StageGroups.due("busy" + i, 4, 1, 9_000, false));
    }
    submit(StageGroups.due("late", 1, 1, 10_000, true));

    StageGroupResult result = results.poll(10, TimeUnit.SECONDS);

    assertThat(result.outcome()).isEqualTo(StageOutcome.LATE);
    assertThat(result.comeBackMillis()).isGreaterThan(500);
  }

  @Test
  void aGroupThatExceedsItsMaximumWaitEndsAsLate() throws Exception {
    list(upstream("u1", 1, "zone"));
    submit(StageGroups.group("busy", 4));
    submit(
        new StageGroup(
            "service", "a", 1, 1, Optional.empty(), List.of(), 0, 1, "", 1, 60, 60_000, 10, false));

    assertThat(results.poll(10, TimeUnit.SECONDS).outcome()).isEqualTo(StageOutcome.LATE);
  }

  private BatchCoordinator newCoordinator(double allowance) {
    return new CoordinatorFixture(loop, upstreams, caller, loads)
        .withRetries(
            allowance,
            () -> Optional.of(new BatchLimits(1, 4, 400, 1, MEMORY_BYTES, retentionMillis)));
  }

  private void list(UpstreamRecord... records) throws InterruptedException {
    loop.submit(() -> upstreams.replaceAll(1, List.of(records))).sync();
  }

  private void peerHas(String upstream, BoxLoad share) throws InterruptedException {
    loop.submit(() -> loads.setPeerLoads("peer", Map.of(upstream, share))).sync();
  }

  private void submit(StageGroup group) throws InterruptedException {
    loop.submit(() -> coordinator.submit(group, results::add)).sync();
  }

  private void answer(FakeUpstreamCaller.Call call, String body) throws InterruptedException {
    loop.submit(() -> call.respond(200, body)).sync();
  }

  private static UpstreamRecord upstream(String id, int number, String zone) {
    return new UpstreamRecord(id, "service", "10.0.0." + number, number, zone, 1, false);
  }
}
