package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.event.RecordedEventLog;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what logs and metrics say of each priority's stage work, in virtual time. */
@Timeout(30)
class PriorityUsageTests {

  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000, 60_000);

  /** Adds up pieces by priority and outcome. */
  private static final class RecordedMeter implements StageMeter {

    private final Map<String, Integer> pieces = new TreeMap<>();
    private final Map<Integer, Double> upstreamMillis = new TreeMap<>();

    @Override
    public void recordPieces(String service, int priority, PieceOutcome outcome, int count) {
      pieces.merge(priority + " " + outcome.label(), count, Integer::sum);
    }

    @Override
    public void recordUpstreamTime(String service, int priority, double millis) {
      upstreamMillis.merge(priority, millis, Double::sum);
    }
  }

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final RecordedEventLog log = new RecordedEventLog();
  private final RecordedMeter meter = new RecordedMeter();
  private final BatchCoordinator coordinator =
      BatchCoordinator.builder()
          .box("box", channel.eventLoop(), clock)
          .upstreams(upstreams, service -> Optional.of(LIMITS))
          .calls(caller, new FakeStageProtocol())
          .loadAndRetries(
              new UpstreamLoads(clock, EventLogs.silent()),
              new RetryBudget(clock, 0, 10, Duration.ofSeconds(10), () -> 1),
              log.eventLog())
          .meter(meter)
          .build();

  PriorityUsageTests() {
    channel.freezeTime();
    upstreams.replaceAll(
        1, List.of(new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, false)));
  }

  @Test
  void countsPiecesAndUpstreamTimeOfEachPriority() throws Exception {
    submit("a", 2, 0, 60_000, false);
    submit("b", 1, 2, 60_000, false);
    submit("late", 1, 2, 10, true);
    answerNextCall(300, "10.0.0.1:1/a0 10.0.0.1:1/a1");
    answerNextCall(900, "10.0.0.1:1/b0");

    assertThat(meter.pieces)
        .containsExactly(
            Map.entry("0 computed", 2), Map.entry("2 computed", 1), Map.entry("2 rejected", 1));
    assertThat(meter.upstreamMillis).containsExactly(Map.entry(0, 300.0), Map.entry(2, 900.0));
  }

  @Test
  void reportsSecondsInWhichPiecesWait() throws Exception {
    submit("a", 2, 0, 60_000, false);
    submit("b", 1, 1, 60_000, false);
    submit("c", 3, 2, 60_000, false);
    answerNextCall(1_100, "10.0.0.1:1/a0 10.0.0.1:1/a1");

    assertThat(log.await("stage-usage").get(0))
        .contains(
            "\"service\":\"service\"",
            "\"in-ms\":1100",
            "\"waiting\":\"0,1,3\"",
            "\"upstreams\":1,\"called\":0");
  }

  @Test
  void reportsWhyPlacesOfCallsAreUnused() throws Exception {
    submit("a", 3, 0, 60_000, false);
    submit("b", 2, 1, 60_000, false);
    submit("c", 3, 1, 60_000, false);
    answerNextCall(300, "10.0.0.1:1/a0 10.0.0.1:1/a1 10.0.0.1:1/a2");
    answerNextCall(1_100, "10.0.0.1:1/b0 10.0.0.1:1/b1");

    assertThat(log.await("stage-usage").get(0)).contains("\"unfilled\":\"group:2\"");
  }

  @Test
  void reportsWhyUpstreamsAreIdle() throws Exception {
    coordinator.submit(StageGroups.large("a", 1, 900), result -> {});
    answerNextCall(300, "10.0.0.1:1/a0");
    coordinator.submit(StageGroups.large("b", 1, 900), result -> {});
    nowMillis += 1_000;
    coordinator.submit(StageGroups.large("c", 1, 10), result -> {});
    answerNextCall(250, "10.0.0.1:1/c0");

    assertThat(log.await("stage-usage").get(0)).contains("\"idle-ms\":\"memory:1000\"");
  }

  private void submit(String request, int pieces, int priority, long dueMillis, boolean first) {
    coordinator.submit(StageGroups.due(request, pieces, priority, dueMillis, first), result -> {});
  }

  private void answerNextCall(long afterMillis, String body) throws InterruptedException {
    FakeUpstreamCaller.Call call = caller.nextCall();
    nowMillis += afterMillis;
    call.respond(200, body);
  }
}
