package org.gradeledge.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageOutcome;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.batch.StageWorkListener;

/** Keeps the groups it was given until the test ends them. */
final class FakeStageWorkClient implements StageWorkClient {

  final List<StageGroup> groups = new ArrayList<>();
  private final Map<Integer, StageWorkListener> listeners = new HashMap<>();
  final Map<String, Long> backlogs = new HashMap<>();
  final List<String> releasedHandles = new ArrayList<>();
  final List<String> cancelledServices = new ArrayList<>();
  final Set<Integer> rejectedStages = new HashSet<>();
  final Map<String, Integer> announcedPieces = new HashMap<>();

  List<Integer> submittedStages() {
    return groups.stream().map(StageGroup::stage).toList();
  }

  void complete(int stage) {
    int pieces = groups.stream().filter(g -> g.stage() == stage).findFirst().orElseThrow().pieces();
    List<String> handles =
        IntStream.range(0, pieces).mapToObj(piece -> stage + "-" + piece).toList();
    listeners.get(stage).onEnd(new StageGroupResult(StageOutcome.MADE, handles, "box", 0, 0));
  }

  void fetchInputs(int stage) {
    listeners.get(stage).onInputsFetched();
  }

  void fail(int stage, StageOutcome outcome) {
    listeners.get(stage).onEnd(new StageGroupResult(outcome, List.of(), "box", 0, 0));
  }

  @Override
  public void submit(StageGroup group, StageWorkListener listener) {
    groups.add(group);
    listeners.put(group.stage(), listener);
    if (rejectedStages.contains(group.stage())) {
      fail(group.stage(), StageOutcome.LATE);
    }
  }

  @Override
  public long backlogMillis(String service, int priority) {
    return priority == 0 ? 0 : backlogs.getOrDefault(service, 0L);
  }

  @Override
  public void announce(String service, int priority, int pieces) {
    addAnnounced(service, pieces);
  }

  @Override
  public void withdraw(String service, int priority, int pieces) {
    addAnnounced(service, -pieces);
  }

  @Override
  public Optional<String> zoneOf(String handle) {
    return Optional.empty();
  }

  @Override
  public void cancel(String service, String requestId) {
    cancelledServices.add(service);
  }

  @Override
  public void release(String service, List<String> handles) {
    releasedHandles.addAll(handles);
  }

  private void addAnnounced(String service, int pieces) {
    int sum = announcedPieces.getOrDefault(service, 0) + pieces;
    if (sum == 0) {
      announcedPieces.remove(service);
    } else {
      announcedPieces.put(service, sum);
    }
  }
}
