package org.gradeledge.relay;

import java.util.ArrayList;
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
import org.gradeledge.batch.StageWorkListener;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.StageWork;

/**
 * Runs the stages of one request: starts each stage after its predecessors and returns the results
 * that no other stage uses. Confined to the event loop.
 */
final class StagePlan {

  private static final int MAX_RECOMPUTATIONS = 2;
  private static final double MAX_WAIT_SHARE = 0.4;

  /** Factor by which the work that a deferred stage waits for must be longer than the stage. */
  private static final double DEFERRAL_MARGIN = 1.2;

  private final RelayRequest request;
  private final StageEstimator estimator;
  private final List<StageWork> stages;
  private final StageWorkClient client;
  private final RequestClock clock;
  private final int priority;
  private final String zone;
  private final LatenessForecast forecast;
  private final StageTimeline timeline;
  private final StageResults results;
  private final Set<Integer> running = new HashSet<>();
  private final Set<Integer> announced = new HashSet<>();
  private Consumer<List<String>> onDone = handles -> {};
  private BiConsumer<Integer, StageGroupResult> onFailure = (stage, result) -> {};
  private int recomputations;

  /** Number of the current run of the stages; results of cancelled runs are released. */
  private int run;

  private boolean finished;

  StagePlan(
      RelayRequest request,
      Deployment deployment,
      RouteDefinition route,
      StageWorkClient client,
      RequestClock clock,
      int priority,
      String zone,
      double firstEventMillis,
      boolean lightlyLoaded,
      StageTimeline timeline) {
    this.request = request;
    this.stages = route.stages();
    this.client = client;
    this.results = new StageResults(request.pieceCounts(), stages, client);
    this.clock = clock;
    this.priority = priority;
    this.zone = zone;
    this.timeline = timeline;
    this.estimator =
        new StageEstimator(request.pieceCounts(), stages, deployment, client, priority);
    this.forecast = new LatenessForecast(estimator, clock, firstEventMillis, lightlyLoaded);
  }

  /**
   * Starts the stages. Calls one of the listeners, unless the plan is cancelled; fails at once if
   * the backlogs make the answer late.
   */
  void start(
      Consumer<List<String>> doneListener, BiConsumer<Integer, StageGroupResult> failureListener) {
    onDone = doneListener;
    onFailure = failureListener;
    timeline.setExpectedMillis(forecast.expectedMillis());
    if (forecast.isLate()) {
      failAsLate();
      return;
    }
    announceAll();
    startReadyStages();
  }

  private void failAsLate() {
    finished = true;
    timeline.startRejected();
    long retryAfterMillis = estimator.longestBacklogMillis();
    onFailure.accept(
        0, new StageGroupResult(StageOutcome.LATE, List.of(), "", retryAfterMillis, 0));
  }

  private void announceAll() {
    for (int stage = 0; stage < stages.size(); stage++) {
      if (results.hasPieces(stage)) {
        announced.add(stage);
        client.announce(stages.get(stage).service(), priority, results.pieceCount(stage));
      }
    }
  }

  private void withdraw(int stage) {
    if (announced.remove(stage)) {
      client.withdraw(stages.get(stage).service(), priority, results.pieceCount(stage));
    }
  }

  /** Runs all stages again after their results were lost or released; fails if that is too late. */
  void restart() {
    releaseAll();
    if (forecast.isLate()) {
      failAsLate();
      return;
    }
    finished = false;
    startReadyStages();
  }

  /** Cancels all stages and releases their results; the stages may be restarted. */
  void cancel() {
    finished = true;
    run++;
    Set.copyOf(announced).forEach(this::withdraw);
    running.forEach(stage -> client.cancel(stages.get(stage).service(), request.id()));
    running.clear();
    releaseAll();
  }

  void releaseAll() {
    results.releaseAll();
  }

  /** Returns whether there is no stage work. */
  boolean isEmpty() {
    return stages.isEmpty() || request.pieceCounts().stream().allMatch(count -> count == 0);
  }

  private void startReadyStages() {
    List<Integer> readyStages = startableStages();
    readyStages.stream().filter(results::hasConsumers).forEach(this::startStage);
    readyStages.stream()
        .filter(stage -> !results.hasConsumers(stage) && !running.contains(stage))
        .filter(stage -> !canDefer(stage))
        .forEach(this::startStage);
    if (!finished && running.isEmpty()) {
      finished = true;
      onDone.accept(results.finalHandles());
    }
  }

  private List<Integer> startableStages() {
    return IntStream.range(0, stages.size())
        .filter(results::hasPieces)
        .filter(stage -> !results.hasResults(stage) && !running.contains(stage))
        .filter(results::isReady)
        .boxed()
        .toList();
  }

  /**
   * Returns whether a stage should start later: if the stages that depend on the running ones take
   * longer than this one, its results would occupy memory until then.
   */
  private boolean canDefer(int stage) {
    double downstreamMillis =
        running.stream().mapToDouble(estimator::downstreamMillis).max().orElse(0);
    return estimator.stageMillis(stage) * DEFERRAL_MARGIN < downstreamMillis;
  }

  private long inputBytes(int stage) {
    return stages.get(stage).dependencies().stream()
        .mapToLong(
            predecessor -> results.pieceCount(predecessor) * stages.get(predecessor).resultBytes())
        .sum();
  }

  private void startStage(int stage) {
    if (finished) {
      return;
    }
    StageWork work = stages.get(stage);
    running.add(stage);
    timeline.stageStarted(stage);
    withdraw(stage);
    List<String> inputs = new ArrayList<>();
    work.dependencies().forEach(predecessor -> inputs.addAll(results.handlesOf(predecessor)));
    StageGroup group =
        new StageGroup(
            work.service(),
            request.id(),
            stage,
            results.pieceCount(stage),
            work.dependencies().isEmpty() ? request.pieceKey() : Optional.empty(),
            inputs,
            inputBytes(stage),
            work.resultBytes(),
            results.hasConsumers(stage) ? "" : zone,
            priority,
            forecast.dueMillis(stage),
            clock.remainingMillis(),
            clock.remainingMillisOfShare(MAX_WAIT_SHARE),
            results.isEmpty());
    client.submit(group, new StageListener(stage));
  }

  /** Receives the result of one stage. */
  private final class StageListener implements StageWorkListener {

    private final int stage;
    private final int startedIn = run;

    StageListener(int stage) {
      this.stage = stage;
    }

    @Override
    public void onEnd(StageGroupResult result) {
      if (startedIn == run) {
        StagePlan.this.stageEnded(stage, result);
      } else {
        client.release(stages.get(stage).service(), result.handles());
      }
    }

    @Override
    public void onInputsFetched() {
      if (startedIn == run && !finished && running.contains(stage)) {
        results.recordInputsFetched(stage);
      }
    }
  }

  private void stageEnded(int stage, StageGroupResult result) {
    running.remove(stage);
    timeline.stageEnded(stage, result);
    if (finished) {
      client.release(stages.get(stage).service(), result.handles());
      return;
    }
    if (result.outcome() == StageOutcome.MADE) {
      results.put(stage, result.handles());
      startReadyStages();
    } else if (result.outcome() == StageOutcome.GONE && recomputations < MAX_RECOMPUTATIONS) {
      recomputations++;
      results.discardInputs(stage);
      startReadyStages();
    } else {
      cancel();
      onFailure.accept(stage, result);
    }
  }

  /** Returns the bytes of the final results by availability zone. */
  Map<String, Long> bytesByZone() {
    return results.bytesByZone();
  }
}
