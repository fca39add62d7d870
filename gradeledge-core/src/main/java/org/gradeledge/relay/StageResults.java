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

  private final List<Integer> pieces;
  private final List<StageWork> stages;
  private final StageWorkClient client;
  private final Map<Integer, List<String>> handles = new HashMap<>();
  private final Set<Integer> fetched = new HashSet<>();

  StageResults(List<Integer> pieces, List<StageWork> stages, StageWorkClient client) {
    this.pieces = pieces;
    this.stages = stages;
    this.client = client;
  }

  int pieces(int stage) {
    return stage < pieces.size() ? pieces.get(stage) : 0;
  }

  boolean wanted(int stage) {
    return pieces(stage) > 0;
  }

  boolean has(int stage) {
    return handles.containsKey(stage);
  }

  boolean isEmpty() {
    return handles.isEmpty();
  }

  /** Returns whether all that a stage comes after is done. */
  boolean ready(int stage) {
    return stages.get(stage).dependencies().stream()
        .allMatch(before -> !wanted(before) || has(before));
  }

  /** Returns whether another stage takes a stage's results. */
  boolean isTaken(int stage) {
    return takers(stage).findAny().isPresent();
  }

  List<String> of(int stage) {
    return handles.getOrDefault(stage, List.of());
  }

  void put(int stage, List<String> made) {
    handles.put(stage, made);
    inputsTaken(stage);
  }

  /**
   * Notes that the inputs of a stage have been fetched; results that all their takers have fetched
   * are given up, since the room that they take keeps the upstream from its next calls.
   */
  void inputsTaken(int stage) {
    fetched.add(stage);
    IntStream.range(0, stages.size())
        .filter(earlier -> isTaken(earlier) && takers(earlier).allMatch(fetched::contains))
        .forEach(this::free);
  }

  /** Forgets the results that a stage takes, so that they are made again. */
  void forgetInputs(int stage) {
    fetched.remove(stage);
    for (int before : stages.get(stage).dependencies()) {
      client.free(stages.get(before).service(), of(before));
      handles.remove(before);
      fetched.remove(before);
      if (stages.get(before).dependencies().stream().anyMatch(this::isFreed)) {
        forgetInputs(before);
      }
    }
  }

  /** Gives up all results. */
  void freeAll() {
    handles.forEach((stage, made) -> client.free(stages.get(stage).service(), made));
    handles.clear();
    fetched.clear();
  }

  /** Returns the results that no stage takes. */
  List<String> handedOn() {
    List<String> all = new ArrayList<>();
    lastStages().forEach(stage -> all.addAll(of(stage)));
    return all;
  }

  /** Returns where most of what is handed on lies, by bytes. */
  Map<String, Long> bytesByZone() {
    Map<String, Long> bytes = new HashMap<>();
    lastStages()
        .forEach(
            stage ->
                of(stage).stream()
                    .flatMap(handle -> client.zoneOf(handle).stream())
                    .forEach(at -> bytes.merge(at, stages.get(stage).resultBytes(), Long::sum)));
    return bytes;
  }

  private IntStream lastStages() {
    return IntStream.range(0, stages.size()).filter(stage -> wanted(stage) && !isTaken(stage));
  }

  private IntStream takers(int stage) {
    return IntStream.range(0, stages.size())
        .filter(later -> wanted(later) && stages.get(later).dependencies().contains(stage));
  }

  private void free(int stage) {
    client.free(stages.get(stage).service(), of(stage));
    handles.replace(stage, List.of());
  }

  private boolean isFreed(int stage) {
    return wanted(stage) && of(stage).isEmpty();
  }
}
