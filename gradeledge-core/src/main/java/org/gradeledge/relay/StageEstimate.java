package org.gradeledge.relay;

import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.deployment.StageWork;

/** How long the stage work of one request takes. Confined to the event loop. */
final class StageEstimate {

  private final List<Integer> pieces;
  private final List<StageWork> stages;
  private final Deployment deployment;
  private final StageWorkClient client;
  private final int priority;

  StageEstimate(
      List<Integer> pieces,
      List<StageWork> stages,
      Deployment deployment,
      StageWorkClient client,
      int priority) {
    this.pieces = pieces;
    this.stages = stages;
    this.deployment = deployment;
    this.client = client;
    this.priority = priority;
  }

  /** Returns about how long all of it takes behind what waits for its services now. */
  double expectedMillis() {
    double longest = 0;
    for (int stage = 0; stage < stages.size(); stage++) {
      if (wanted(stage) && stages.get(stage).after().isEmpty()) {
        longest = Math.max(longest, queuedMillis(stage) + tail(stage, this::queuedMillis));
      }
    }
    return longest;
  }

  /** Returns about how long the stages after a stage take where nothing waits. */
  double tailMillis(int stage) {
    return tail(stage, this::callMillis);
  }

  /** Returns the longest backlog among the services of the stages. */
  long longestBacklogMillis() {
    return stages.stream()
        .mapToLong(stage -> client.backlogMillis(stage.service(), priority))
        .max()
        .orElse(0);
  }

  private double tail(int stage, IntToDoubleFunction millis) {
    double longest = 0;
    for (int next = stage + 1; next < stages.size(); next++) {
      if (wanted(next) && stages.get(next).after().contains(stage)) {
        longest = Math.max(longest, millis.applyAsDouble(next) + tail(next, millis));
      }
    }
    return longest;
  }

  private double queuedMillis(int stage) {
    return client.backlogMillis(stages.get(stage).service(), priority) + callMillis(stage);
  }

  private double callMillis(int stage) {
    return deployment
        .service(stages.get(stage).service())
        .flatMap(ServiceDefinition::batch)
        .map(batch -> batch.expectedMillis(Math.min(pieces.get(stage), batch.itemsPerCall())))
        .orElse(0.0);
  }

  private boolean wanted(int stage) {
    return stage < pieces.size() && pieces.get(stage) > 0;
  }
}
