package org.gradeledge.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageWorkListener;

/**
 * The groups that other boxes work on for this one, found by their request without a look at all
 * others. Confined to the event loop.
 */
final class DelegatedGroups {

  private final Map<String, List<DelegatedGroup>> byRequest = new HashMap<>();

  /** Adds a group that a box has. */
  DelegatedGroup add(StageGroup group, StageWorkListener listener, String box) {
    DelegatedGroup placed = new DelegatedGroup(group, listener, box);
    byRequest.computeIfAbsent(group.requestId(), id -> new ArrayList<>(2)).add(placed);
    return placed;
  }

  /** Takes a group out; returns whether it was still there. */
  boolean remove(DelegatedGroup placed) {
    String request = placed.group().requestId();
    List<DelegatedGroup> ofRequest = byRequest.get(request);
    if (ofRequest == null || !ofRequest.remove(placed)) {
      return false;
    }
    if (ofRequest.isEmpty()) {
      byRequest.remove(request);
    }
    return true;
  }

  /** Returns the groups of a request, as they are now. */
  List<DelegatedGroup> ofRequest(String requestId) {
    return List.copyOf(byRequest.getOrDefault(requestId, List.of()));
  }

  /** Returns the groups that a box has, as they are now. */
  List<DelegatedGroup> ofBox(String box) {
    return byRequest.values().stream()
        .flatMap(List::stream)
        .filter(placed -> placed.box().equals(box))
        .toList();
  }
}
