package org.gradeledge.relay;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.deployment.StageWork;

/** Estimates the duration of the stage work of one request. Confined to the event loop. */
final class StageEstimator {

  private final List<Integer> pieceCounts;
  private final List<StageWork> stages;
  private final Deployment deployment;
  private final StageWorkClient client;
  private final int priority;

  StageEstimator(
      List<Integer> pieces,
      List<StageWork> stages,
      Deployment deployment,
      StageWorkClient client,
      int priority) {
    this.pieceCounts = pieces;
    this.stages = stages;
    this.deployment = deployment;
    this.client = client;
    this.priority = priority;
  }

  /**
   * Returns the expected duration of all stages, including the current backlogs of their services.
   * The backlog of a later stage is processed while earlier stages run.
   */
  double expectedMillis() {
    return expectedMillis(service -> client.backlogMillis(service, priority));
  }

  /** Returns the expected duration of all stages without backlogs. */
  double idleMillis() {
    return expectedMillis(service -> 0);
  }

  private double expectedMillis(ToLongFunction<String> backlogMillis) {
    double[] completionMillis = new double[stages.size()];
    for (int stage = 0; stage < stages.size(); stage++) {
      if (hasPieces(stage)) {
        completionMillis[stage] = completionMillis(stage, completionMillis, backlogMillis);
      }
    }
    return Arrays.stream(completionMillis).max().orElse(0);
  }

  private double completionMillis(
      int stage, double[] completionMillis, ToLongFunction<String> backlogMillis) {
    StageWork work = stages.get(stage);
    double inputsReady =
        work.dependencies().stream()
            .mapToDouble(predecessor -> completionMillis[predecessor])
            .max()
            .orElse(0);
    long backlog = backlogMillis.applyAsLong(work.service());
    int otherPieces = backlog > 0 ? Integer.MAX_VALUE : 0;
    return Math.max(inputsReady, backlog) + callMillis(stage, otherPieces);
  }

  /** Returns the expected duration of one stage, including the current backlog of its service. */
  double stageMillis(int stage) {
    return client.backlogMillis(stages.get(stage).service(), priority) + callMillis(stage, 0);
  }

  /** Returns the expected duration of the stages that depend on a stage, without backlogs. */
  double downstreamMillis(int stage) {
    double longest = 0;
    for (int next = stage + 1; next < stages.size(); next++) {
      if (hasPieces(next) && stages.get(next).dependencies().contains(stage)) {
        longest = Math.max(longest, callMillis(next, 0) + downstreamMillis(next));
      }
    }
    return longest;
  }

  /** Returns the longest backlog among the services of the stages. */
  long longestBacklogMillis() {
    return stages.stream()
        .mapToLong(stage -> client.backlogMillis(stage.service(), priority))
        .max()
        .orElse(0);
  }

  /** Returns the duration of a call with the pieces of a stage and as many others as fit. */
  private double callMillis(int stage, int otherPieces) {
    return deployment
        .service(stages.get(stage).service())
        .flatMap(ServiceDefinition::batchLimits)
        .map(batch -> batch.expectedMillis(itemsInCall(stage, otherPieces, batch)))
        .orElse(0.0);
  }

  private int itemsInCall(int stage, int otherPieces, BatchLimits batch) {
    return (int) Math.min((long) pieceCounts.get(stage) + otherPieces, batch.maxItemsPerCall());
  }

  private boolean hasPieces(int stage) {
    return stage < pieceCounts.size() && pieceCounts.get(stage) > 0;
  }
}
