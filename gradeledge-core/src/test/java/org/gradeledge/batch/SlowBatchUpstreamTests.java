package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which upstreams are called after one of them was slow, in virtual time. */
@Timeout(60)
class SlowBatchUpstreamTests {

  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000_000, 60_000);
  private static final int NORMAL_CALL_MILLIS = 240;
  private static final int SLOW_CALL_MILLIS = 900;
  private static final int WAITING_GROUPS = 8;

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final Map<FakeUpstreamCaller.Call, Long> openCalls = new HashMap<>();
  private final Map<String, Integer> callMillis = new HashMap<>();
  private final Map<String, Integer> callCounts = new HashMap<>();
  private int submitted;
  private int completed;
  private final BatchCoordinator coordinator =
      BatchCoordinator.builder()
          .box("box", channel.eventLoop(), clock)
          .upstreams(upstreams, service -> Optional.of(LIMITS))
          .calls(caller, new FakeStageProtocol())
          .loadAndRetries(
              new UpstreamLoads(clock, EventLogs.silent()),
              new RetryBudget(clock, 0, 100, Duration.ofSeconds(10), () -> 1),
              EventLogs.silent())
          .build();

  SlowBatchUpstreamTests() {
    channel.freezeTime();
    upstreams.replaceAll(
        1, IntStream.range(0, 4).mapToObj(SlowBatchUpstreamTests::upstream).toList());
  }

  // Guards against an upstream that was slow once and is never called again while pieces wait.
  @Test
  void callsAnUpstreamAgainThatIsNoLongerSlow() throws Exception {
    Set<String> slow = Set.of("u0", "u1", "u2");
    slow.forEach(id -> callMillis.put(id, SLOW_CALL_MILLIS));
    run(3_000);
    slow.forEach(id -> callMillis.put(id, NORMAL_CALL_MILLIS));
    run(4_000);

    callCounts.clear();
    run(2_000);

    assertThat(callCounts.values()).hasSize(4).allMatch(count -> count >= 4);
  }

  // Guards against many pieces that wait for an upstream which is still slow.
  @Test
  void callsAnUpstreamThatStaysSlowSeldom() throws Exception {
    callMillis.put("u0", SLOW_CALL_MILLIS);
    run(3_000);

    callCounts.clear();
    run(10_000);

    assertThat(callCounts.getOrDefault("u0", 0)).isLessThanOrEqualTo(7);
    assertThat(callCounts.get("u1")).isGreaterThan(35);
  }

  // Guards against upstreams that are not called because the box itself was paused during a call.
  @Test
  void doesNotTakeItsOwnPauseForSlownessOfUpstreams() throws Exception {
    submit(3);
    receiveCalls();
    assertThat(openCalls).hasSize(3);
    nowMillis += 3_200;
    List.copyOf(openCalls.keySet()).forEach(this::answer);
    channel.advanceTimeBy(3_200, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();

    callCounts.clear();
    run(600);

    assertThat(callCounts).hasSize(4);
  }

  /** Runs for some time, in which pieces wait all the while. */
  private void run(long millis) throws InterruptedException {
    long end = nowMillis + millis;
    while (nowMillis < end) {
      while (submitted - completed < WAITING_GROUPS + openCalls.size()) {
        submit(1);
      }
      receiveCalls();
      List<FakeUpstreamCaller.Call> due =
          openCalls.entrySet().stream()
              .filter(call -> call.getValue() <= nowMillis)
              .map(Map.Entry::getKey)
              .toList();
      due.forEach(this::answer);
      nowMillis++;
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
    }
  }

  private void submit(int groups) {
    for (int i = 0; i < groups; i++) {
      coordinator.submit(
          StageGroups.due("r" + submitted++, 4, 1, 60_000, false), result -> completed++);
    }
  }

  private void receiveCalls() throws InterruptedException {
    while (!caller.hasNoCalls()) {
      FakeUpstreamCaller.Call call = caller.nextCall();
      String id = call.target().id();
      callCounts.merge(id, 1, Integer::sum);
      openCalls.put(call, nowMillis + callMillis.getOrDefault(id, NORMAL_CALL_MILLIS));
    }
  }

  private void answer(FakeUpstreamCaller.Call call) {
    openCalls.remove(call);
    call.respond(
        200,
        Stream.of(call.body().split(" "))
            .map(item -> call.target().address() + "/" + item)
            .collect(Collectors.joining(" ")));
  }

  private static UpstreamRecord upstream(int number) {
    return new UpstreamRecord("u" + number, "service", "10.0.0.1", number, "zone", 1, false);
  }
}
