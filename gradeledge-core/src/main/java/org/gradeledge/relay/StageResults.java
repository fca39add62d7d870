package org.gradeledge.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.deployment.StageWork;

/**
 * The results of one request's stages. Releases results once all stages that use them have fetched
 * them. Confined to the event loop.
 */
final class StageResults {

  private final List<Integer> pieceCounts;
  private final List<StageWork> stages;
  private final StageWorkClient client;
  private final Map<Integer, List<String>> handlesByStage = new HashMap<>();
  private final Set<Integer> stagesWithFetchedInputs = new HashSet<>();

  StageResults(List<Integer> pieces, List<StageWork> stages, StageWorkClient client) {
    this.pieceCounts = pieces;
    this.stages = stages;
    this.client = client;
  }

  int pieceCount(int stage) {
    return stage < pieceCounts.size() ? pieceCounts.get(stage) : 0;
  }

  boolean hasPieces(int stage) {
    return pieceCount(stage) > 0;
  }

  boolean hasResults(int stage) {
    return handlesByStage.containsKey(stage);
  }

  boolean isEmpty() {
    return handlesByStage.isEmpty();
  }

  /** Returns whether all predecessors of a stage are complete. */
  boolean isReady(int stage) {
    return stages.get(stage).dependencies().stream()
        .allMatch(predecessor -> !hasPieces(predecessor) || hasResults(predecessor));
  }

  /** Returns whether another stage uses the results of a stage. */
  boolean hasConsumers(int stage) {
    return consumers(stage).findAny().isPresent();
  }

  List<String> handlesOf(int stage) {
    return handlesByStage.getOrDefault(stage, List.of());
  }

  void put(int stage, List<String> handles) {
    handlesByStage.put(stage, handles);
    recordInputsFetched(stage);
  }

  /**
   * Records that a stage has fetched its inputs, and releases results that all consumers have
   * fetched: stored results limit the next calls of their upstream.
   */
  void recordInputsFetched(int stage) {
    stagesWithFetchedInputs.add(stage);
    IntStream.range(0, stages.size())
        .filter(
            earlier ->
                hasConsumers(earlier)
                    && consumers(earlier).allMatch(stagesWithFetchedInputs::contains))
        .forEach(this::release);
  }

  /** Discards the inputs of a stage, so that they are computed again. */
  void discardInputs(int stage) {
    stagesWithFetchedInputs.remove(stage);
    for (int predecessor : stages.get(stage).dependencies()) {
      client.release(stages.get(predecessor).service(), handlesOf(predecessor));
      handlesByStage.remove(predecessor);
      stagesWithFetchedInputs.remove(predecessor);
      if (stages.get(predecessor).dependencies().stream().anyMatch(this::isReleased)) {
        discardInputs(predecessor);
      }
    }
  }

  void releaseAll() {
    handlesByStage.forEach(
        (stage, handles) -> client.release(stages.get(stage).service(), handles));
    handlesByStage.clear();
    stagesWithFetchedInputs.clear();
  }

  /** Returns the handles of the results that no stage uses. */
  List<String> finalHandles() {
    List<String> all = new ArrayList<>();
    finalStages().forEach(stage -> all.addAll(handlesOf(stage)));
    return all;
  }

  /** Returns the bytes of the final results by availability zone. */
  Map<String, Long> bytesByZone() {
    Map<String, Long> bytes = new HashMap<>();
    finalStages()
        .forEach(
            stage ->
                handlesOf(stage).stream()
                    .flatMap(handle -> client.zoneOf(handle).stream())
                    .forEach(
                        zone -> bytes.merge(zone, stages.get(stage).resultBytes(), Long::sum)));
    return bytes;
  }

  private IntStream finalStages() {
    return IntStream.range(0, stages.size())
        .filter(stage -> hasPieces(stage) && !hasConsumers(stage));
  }

  private IntStream consumers(int stage) {
    return IntStream.range(0, stages.size())
        .filter(later -> hasPieces(later) && stages.get(later).dependencies().contains(stage));
  }

  private void release(int stage) {
    client.release(stages.get(stage).service(), handlesOf(stage));
    handlesByStage.replace(stage, List.of());
  }

  private boolean isReleased(int stage) {
    return hasPieces(stage) && handlesOf(stage).isEmpty();
  }
}
