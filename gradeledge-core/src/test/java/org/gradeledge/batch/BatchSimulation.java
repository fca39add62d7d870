package org.gradeledge.batch;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;

/** One coordinator and the upstreams of one service, in virtual time. */
final class BatchSimulation {

  static final String SERVICE = "service";

  private final BatchLimits limits;
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final PendingPieces pendingPieces = new PendingPieces();
  private final Map<FakeUpstreamCaller.Call, Long> openCalls = new HashMap<>();
  private final Map<String, Integer> callMillis = new HashMap<>();
  private final Map<String, Integer> callCounts = new HashMap<>();
  private final Map<Long, List<Runnable>> scheduled = new HashMap<>();
  private long nowMillis = 100_000;
  private int startedPieces;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final BatchCoordinator coordinator;

  /**
   * Creates a simulation.
   *
   * @param zones zone of each upstream
   */
  BatchSimulation(BatchLimits limits, String... zones) {
    this.limits = limits;
    this.coordinator =
        BatchCoordinator.builder()
            .box("box", channel.eventLoop(), clock)
            .upstreams(upstreams, service -> Optional.of(limits))
            .calls(caller, new FakeStageProtocol())
            .loadAndRetries(
                new UpstreamLoads(clock, EventLogs.silent()),
                new RetryBudget(clock, 0, 100, Duration.ofSeconds(10), () -> 1),
                EventLogs.silent())
            .pendingPieces(pendingPieces)
            .build();
    channel.freezeTime();
    List<UpstreamRecord> records = new ArrayList<>();
    for (String zone : zones) {
      int number = records.size();
      records.add(new UpstreamRecord("u" + number, SERVICE, "10.0.0.1", number, zone, 1, false));
    }
    upstreams.replaceAll(1, records);
  }

  BatchCoordinator coordinator() {
    return coordinator;
  }

  PendingPieces pendingPieces() {
    return pendingPieces;
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Returns the number of calls in flight. */
  int openCalls() {
    return openCalls.size();
  }

  /** Returns the number of calls to each upstream, which the caller may clear. */
  Map<String, Integer> callCounts() {
    return callCounts;
  }

  /** Sets how long calls to an upstream take from now on, whatever they hold. */
  void setCallMillis(String upstream, int millis) {
    callMillis.put(upstream, millis);
  }

  /** Returns the number of pieces in all calls so far. */
  int startedPieces() {
    return startedPieces;
  }

  /** Runs an action after a delay. */
  void schedule(long delayMillis, Runnable action) {
    scheduled.computeIfAbsent(nowMillis + delayMillis, key -> new ArrayList<>()).add(action);
  }

  /** Advances the time, and runs an action in each millisecond. */
  void run(long millis, Runnable eachMillisecond) throws InterruptedException {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis++) {
      Optional.ofNullable(scheduled.remove(nowMillis)).ifPresent(due -> due.forEach(Runnable::run));
      eachMillisecond.run();
      startCalls();
      endCalls();
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
    }
  }

  /** Advances the time at once; the answers of all calls in flight are received at its end. */
  void pause(long millis) {
    nowMillis += millis;
    List.copyOf(openCalls.keySet()).forEach(this::answer);
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
  }

  private void startCalls() throws InterruptedException {
    while (!caller.hasNoCalls()) {
      FakeUpstreamCaller.Call call = caller.nextCall();
      int items = call.body().split(" ").length;
      String upstream = call.target().id();
      startedPieces += items;
      callCounts.merge(upstream, 1, Integer::sum);
      int millis = callMillis.getOrDefault(upstream, (int) limits.expectedMillis(items));
      openCalls.put(call, nowMillis + millis);
    }
  }

  private void endCalls() {
    openCalls.entrySet().stream()
        .filter(call -> call.getValue() <= nowMillis)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::answer);
  }

  private void answer(FakeUpstreamCaller.Call call) {
    openCalls.remove(call);
    call.respond(
        200,
        Stream.of(call.body().split(" "))
            .map(item -> call.target().address() + "/" + item)
            .collect(Collectors.joining(" ")));
  }
}
