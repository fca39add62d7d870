package org.gradeledge.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageOutcome;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.StageWork;

/**
 * The stage work of one request: each stage starts once those that it comes after are done, and the
 * results that no other stage takes are handed on. Confined to the event loop.
 */
final class StagePlan {

  private static final int MOST_REPEATS = 2;
  private static final double MOST_OF_TIME_WAITED = 0.4;

  /** Estimates are rough, and a late answer is worth more than none. */
  private static final double TOLERANCE = 1.15;

  private final RelayRequest request;
  private final StageEstimate estimate;
  private final List<StageWork> stages;
  private final StageWorkClient client;
  private final RequestClock clock;
  private final int priority;
  private final String zone;
  private final double firstEventMillis;
  private final Map<Integer, List<String>> results = new HashMap<>();
  private final Set<Integer> running = new HashSet<>();
  private Consumer<List<String>> onDone = handles -> {};
  private BiConsumer<Integer, StageGroupResult> onFailure = (stage, result) -> {};
  private int repeats;
  private boolean over;

  StagePlan(
      RelayRequest request,
      Deployment deployment,
      RouteDefinition route,
      StageWorkClient client,
      RequestClock clock,
      int priority,
      String zone,
      double firstEventMillis) {
    this.request = request;
    this.stages = route.stages();
    this.client = client;
    this.clock = clock;
    this.priority = priority;
    this.zone = zone;
    this.firstEventMillis = firstEventMillis;
    this.estimate = new StageEstimate(request.pieces(), stages, deployment, client, priority);
  }

  /**
   * Starts the work; exactly one of the two is called, unless the plan is cancelled. It fails at
   * once where the request would come late behind what waits for its services.
   */
  void start(Consumer<List<String>> done, BiConsumer<Integer, StageGroupResult> failed) {
    onDone = done;
    onFailure = failed;
    if (estimate.expectedMillis() + firstEventMillis > clock.targetLeftMillis() * TOLERANCE) {
      over = true;
      long comeBack = estimate.longestBacklogMillis();
      failed.accept(0, new StageGroupResult(StageOutcome.LATE, List.of(), "", comeBack));
      return;
    }
    startReady();
  }

  /** Does all of the work again, as a result was gone before it was fetched. */
  void restart() {
    freeAll();
    over = false;
    startReady();
  }

  /** Drops what waits and gives up what was made. */
  void cancel() {
    over = true;
    running.forEach(stage -> client.cancel(stages.get(stage).service(), request.id()));
    freeAll();
  }

  /** Gives up all results, once they have been fetched or are not needed any more. */
  void freeAll() {
    results.forEach((stage, handles) -> client.free(stages.get(stage).service(), handles));
    results.clear();
  }

  /** Returns whether there is any stage work. */
  boolean isEmpty() {
    return stages.isEmpty() || request.pieces().stream().allMatch(count -> count == 0);
  }

  private void startReady() {
    for (int stage = 0; stage < stages.size(); stage++) {
      if (wanted(stage)
          && !results.containsKey(stage)
          && !running.contains(stage)
          && ready(stage)) {
        startStage(stage);
      }
    }
    if (!over && running.isEmpty()) {
      over = true;
      onDone.accept(finalResults());
    }
  }

  private boolean wanted(int stage) {
    return pieces(stage) > 0;
  }

  private int pieces(int stage) {
    return stage < request.pieces().size() ? request.pieces().get(stage) : 0;
  }

  private long inputBytes(int stage) {
    return stages.get(stage).after().stream()
        .mapToLong(before -> pieces(before) * stages.get(before).resultBytes())
        .sum();
  }

  private boolean ready(int stage) {
    return stages.get(stage).after().stream()
        .allMatch(before -> !wanted(before) || results.containsKey(before));
  }

  private void startStage(int stage) {
    StageWork work = stages.get(stage);
    running.add(stage);
    List<String> inputs = new ArrayList<>();
    work.after().forEach(before -> inputs.addAll(results.getOrDefault(before, List.of())));
    long due = clock.targetLeftMillis() - (long) (estimate.tailMillis(stage) + firstEventMillis);
    StageGroup group =
        new StageGroup(
            work.service(),
            request.id(),
            stage,
            pieces(stage),
            work.after().isEmpty() ? request.pieceKey() : Optional.empty(),
            inputs,
            inputBytes(stage),
            work.resultBytes(),
            isTaken(stage) ? "" : zone,
            priority,
            due,
            clock.leftMillis(),
            clock.leftOfPartMillis(MOST_OF_TIME_WAITED),
            results.isEmpty());
    client.submit(group, result -> ended(stage, result));
  }

  private void ended(int stage, StageGroupResult result) {
    running.remove(stage);
    if (over) {
      client.free(stages.get(stage).service(), result.handles());
      return;
    }
    if (result.outcome() == StageOutcome.MADE) {
      results.put(stage, result.handles());
      freeTaken();
      startReady();
    } else if (result.outcome() == StageOutcome.GONE && repeats < MOST_REPEATS) {
      repeats++;
      forget(stage);
      startReady();
    } else {
      cancel();
      onFailure.accept(stage, result);
    }
  }

  /** Gives up the results of stages once all stages that take them are done. */
  private void freeTaken() {
    for (int stage = 0; stage < stages.size(); stage++) {
      if (isTaken(stage) && takersDone(stage)) {
        client.free(stages.get(stage).service(), results.getOrDefault(stage, List.of()));
        results.replace(stage, List.of());
      }
    }
  }

  private boolean takersDone(int stage) {
    return IntStream.range(0, stages.size())
        .filter(later -> wanted(later) && stages.get(later).after().contains(stage))
        .allMatch(results::containsKey);
  }

  /** Returns where most of what is handed on lies, by bytes. */
  Map<String, Long> bytesByZone() {
    Map<String, Long> bytes = new HashMap<>();
    for (int stage = 0; stage < stages.size(); stage++) {
      long each = stages.get(stage).resultBytes();
      if (!isTaken(stage)) {
        results
            .getOrDefault(stage, List.of())
            .forEach(
                handle -> client.zoneOf(handle).ifPresent(at -> bytes.merge(at, each, Long::sum)));
      }
    }
    return bytes;
  }

  /** Forgets the results that a stage takes, so that they are made again. */
  private void forget(int stage) {
    for (int before : stages.get(stage).after()) {
      client.free(stages.get(before).service(), results.getOrDefault(before, List.of()));
      results.remove(before);
      if (stages.get(before).after().stream().anyMatch(earlier -> freed(earlier))) {
        forget(before);
      }
    }
  }

  private boolean freed(int stage) {
    return wanted(stage) && results.getOrDefault(stage, List.of()).isEmpty();
  }

  private List<String> finalResults() {
    List<String> handles = new ArrayList<>();
    for (int stage = 0; stage < stages.size(); stage++) {
      if (wanted(stage) && !isTaken(stage)) {
        handles.addAll(results.getOrDefault(stage, List.of()));
      }
    }
    return handles;
  }

  private boolean isTaken(int stage) {
    for (int later = 0; later < stages.size(); later++) {
      if (wanted(later) && stages.get(later).after().contains(stage)) {
        return true;
      }
    }
    return false;
  }
}
