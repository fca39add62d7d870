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
 * The stage work of one request: each stage starts once those that it comes after are done, and the
 * results that no other stage takes are handed on. Confined to the event loop.
 */
final class StagePlan {

  private static final int MOST_REPEATS = 2;
  private static final double MOST_OF_TIME_WAITED = 0.4;

  /** Estimates are rough, and a late answer is worth more than none. */
  private static final double TOLERANCE = 1.15;

  /** A stage that can wait must take so much less than what is waited for. */
  private static final double SLACK = 1.2;

  private final RelayRequest request;
  private final StageEstimate estimate;
  private final List<StageWork> stages;
  private final StageWorkClient client;
  private final RequestClock clock;
  private final int priority;
  private final String zone;
  private final double firstEventMillis;
  private final StageTimeline timeline;
  private final StageResults results;
  private final Set<Integer> running = new HashSet<>();
  private final Set<Integer> announced = new HashSet<>();
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
      double firstEventMillis,
      StageTimeline timeline) {
    this.request = request;
    this.stages = route.stages();
    this.client = client;
    this.results = new StageResults(request.pieces(), stages, client);
    this.clock = clock;
    this.priority = priority;
    this.zone = zone;
    this.firstEventMillis = firstEventMillis;
    this.timeline = timeline;
    this.estimate = new StageEstimate(request.pieces(), stages, deployment, client, priority);
  }

  /**
   * Starts the work; exactly one of the two is called, unless the plan is cancelled. It fails at
   * once where the request would come late behind what waits for its services.
   */
  void start(Consumer<List<String>> done, BiConsumer<Integer, StageGroupResult> failed) {
    onDone = done;
    onFailure = failed;
    double expected = estimate.expectedMillis() + firstEventMillis;
    timeline.expected(expected);
    if (expected > clock.targetLeftMillis() * TOLERANCE) {
      over = true;
      long comeBack = estimate.longestBacklogMillis();
      failed.accept(0, new StageGroupResult(StageOutcome.LATE, List.of(), "", comeBack, 0));
      return;
    }
    announceAll();
    startReady();
  }

  private void announceAll() {
    for (int stage = 0; stage < stages.size(); stage++) {
      if (results.wanted(stage)) {
        announced.add(stage);
        client.announce(stages.get(stage).service(), priority, results.pieces(stage));
      }
    }
  }

  private void withdraw(int stage) {
    if (announced.remove(stage)) {
      client.withdraw(stages.get(stage).service(), priority, results.pieces(stage));
    }
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
    Set.copyOf(announced).forEach(this::withdraw);
    running.forEach(stage -> client.cancel(stages.get(stage).service(), request.id()));
    freeAll();
  }

  /** Gives up all results, once they have been fetched or are not needed any more. */
  void freeAll() {
    results.freeAll();
  }

  /** Returns whether there is any stage work. */
  boolean isEmpty() {
    return stages.isEmpty() || request.pieces().stream().allMatch(count -> count == 0);
  }

  private void startReady() {
    List<Integer> startable = startable();
    startable.stream().filter(results::isTaken).forEach(this::startStage);
    startable.stream()
        .filter(stage -> !results.isTaken(stage) && !running.contains(stage))
        .filter(stage -> !canWait(stage))
        .forEach(this::startStage);
    if (!over && running.isEmpty()) {
      over = true;
      onDone.accept(results.handedOn());
    }
  }

  private List<Integer> startable() {
    return IntStream.range(0, stages.size())
        .filter(results::wanted)
        .filter(stage -> !results.has(stage) && !running.contains(stage))
        .filter(results::ready)
        .boxed()
        .toList();
  }

  /**
   * Returns whether a stage is better started once what runs now is done: the stages after that
   * take longer than it does, and its results would only take room until then.
   */
  private boolean canWait(int stage) {
    double rest = running.stream().mapToDouble(estimate::tailMillis).max().orElse(0);
    return estimate.ownMillis(stage) * SLACK < rest;
  }

  private long inputBytes(int stage) {
    return stages.get(stage).dependencies().stream()
        .mapToLong(before -> results.pieces(before) * stages.get(before).resultBytes())
        .sum();
  }

  private void startStage(int stage) {
    if (over) {
      return;
    }
    StageWork work = stages.get(stage);
    running.add(stage);
    timeline.started(stage);
    withdraw(stage);
    List<String> inputs = new ArrayList<>();
    work.dependencies().forEach(before -> inputs.addAll(results.of(before)));
    long due = clock.targetLeftMillis() - (long) (estimate.tailMillis(stage) + firstEventMillis);
    StageGroup group =
        new StageGroup(
            work.service(),
            request.id(),
            stage,
            results.pieces(stage),
            work.dependencies().isEmpty() ? request.pieceKey() : Optional.empty(),
            inputs,
            inputBytes(stage),
            work.resultBytes(),
            results.isTaken(stage) ? "" : zone,
            priority,
            due,
            clock.leftMillis(),
            clock.leftOfPartMillis(MOST_OF_TIME_WAITED),
            results.isEmpty());
    client.submit(group, new StageListener(stage));
  }

  /** Hears how one stage goes. */
  private final class StageListener implements StageWorkListener {

    private final int stage;

    StageListener(int stage) {
      this.stage = stage;
    }

    @Override
    public void ended(StageGroupResult result) {
      StagePlan.this.ended(stage, result);
    }

    @Override
    public void inputsTaken() {
      if (!over && running.contains(stage)) {
        results.inputsTaken(stage);
      }
    }
  }

  private void ended(int stage, StageGroupResult result) {
    running.remove(stage);
    timeline.ended(stage, result);
    if (over) {
      client.free(stages.get(stage).service(), result.handles());
      return;
    }
    if (result.outcome() == StageOutcome.MADE) {
      results.put(stage, result.handles());
      startReady();
    } else if (result.outcome() == StageOutcome.GONE && repeats < MOST_REPEATS) {
      repeats++;
      results.forgetInputs(stage);
      startReady();
    } else {
      cancel();
      onFailure.accept(stage, result);
    }
  }

  /** Returns where most of what is handed on lies, by bytes. */
  Map<String, Long> bytesByZone() {
    return results.bytesByZone();
  }
}
