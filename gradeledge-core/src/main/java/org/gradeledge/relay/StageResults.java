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
 * The results of one request's stages and who takes them; those that all takers are done with are
 * given up. Confined to the event loop.
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

  /** Returns whether all that a stage comes after is done. */
  boolean isReady(int stage) {
    return stages.get(stage).dependencies().stream()
        .allMatch(before -> !hasPieces(before) || hasResults(before));
  }

  /** Returns whether another stage takes a stage's results. */
  boolean hasConsumers(int stage) {
    return consumers(stage).findAny().isPresent();
  }

  List<String> handlesOf(int stage) {
    return handlesByStage.getOrDefault(stage, List.of());
  }

  void put(int stage, List<String> made) {
    handlesByStage.put(stage, made);
    recordInputsFetched(stage);
  }

  /**
   * Notes that the inputs of a stage have been fetched; results that all their takers have fetched
   * are given up, since the room that they take keeps the upstream from its next calls.
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

  /** Forgets the results that a stage takes, so that they are made again. */
  void discardInputs(int stage) {
    stagesWithFetchedInputs.remove(stage);
    for (int before : stages.get(stage).dependencies()) {
      client.release(stages.get(before).service(), handlesOf(before));
      handlesByStage.remove(before);
      stagesWithFetchedInputs.remove(before);
      if (stages.get(before).dependencies().stream().anyMatch(this::isReleased)) {
        discardInputs(before);
      }
    }
  }

  /** Gives up all results. */
  void releaseAll() {
    handlesByStage.forEach((stage, made) -> client.release(stages.get(stage).service(), made));
    handlesByStage.clear();
    stagesWithFetchedInputs.clear();
  }

  /** Returns the results that no stage takes. */
  List<String> finalHandles() {
    List<String> all = new ArrayList<>();
    finalStages().forEach(stage -> all.addAll(handlesOf(stage)));
    return all;
  }

  /** Returns where most of what is handed on lies, by bytes. */
  Map<String, Long> bytesByZone() {
    Map<String, Long> bytes = new HashMap<>();
    finalStages()
        .forEach(
            stage ->
                handlesOf(stage).stream()
                    .flatMap(handle -> client.zoneOf(handle).stream())
                    .forEach(at -> bytes.merge(at, stages.get(stage).resultBytes(), Long::sum)));
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
