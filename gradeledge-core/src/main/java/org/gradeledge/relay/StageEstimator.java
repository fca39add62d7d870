package org.gradeledge.relay;

import java.util.Arrays;
import java.util.List;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.deployment.StageWork;

/** How long the stage work of one request takes. Confined to the event loop. */
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
   * Returns about how long all of it takes behind what waits for its services, or is on its way to
   * them, now. A later stage's queue is worked off while the earlier stages are under way.
   */
  double expectedMillis() {
    double[] doneAfter = new double[stages.size()];
    for (int stage = 0; stage < stages.size(); stage++) {
      if (hasPieces(stage)) {
        doneAfter[stage] = completionMillis(stage, doneAfter);
      }
    }
    return Arrays.stream(doneAfter).max().orElse(0);
  }

  private double completionMillis(int stage, double[] doneBefore) {
    StageWork work = stages.get(stage);
    double ready =
        work.dependencies().stream().mapToDouble(before -> doneBefore[before]).max().orElse(0);
    long backlog = client.backlogMillis(work.service(), priority);
    int others = backlog > 0 ? Integer.MAX_VALUE : 0;
    return Math.max(ready, backlog) + callMillis(stage, others);
  }

  /** Returns about how long a stage takes alone behind what waits for its service now. */
  double stageMillis(int stage) {
    return client.backlogMillis(stages.get(stage).service(), priority) + callMillis(stage, 0);
  }

  /** Returns about how long the stages after a stage take where nothing waits. */
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

  /** Returns the time of a call for a stage's pieces and those of others, as many as fit. */
  private double callMillis(int stage, int others) {
    return deployment
        .service(stages.get(stage).service())
        .flatMap(ServiceDefinition::batchLimits)
        .map(batch -> batch.expectedMillis(itemsInCall(stage, others, batch)))
        .orElse(0.0);
  }

  private int itemsInCall(int stage, int others, BatchLimits batch) {
    return (int) Math.min((long) pieceCounts.get(stage) + others, batch.maxItemsPerCall());
  }

  private boolean hasPieces(int stage) {
    return stage < pieceCounts.size() && pieceCounts.get(stage) > 0;
  }
}
