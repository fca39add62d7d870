package org.gradeledge.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageWorkListener;

/**
 * Groups that this box delegated to other boxes, indexed by request. Confined to the event loop.
 */
final class DelegatedGroups {

  private final Map<String, List<DelegatedGroup>> byRequest = new HashMap<>();

  /** Adds a group that is delegated to a box. */
  DelegatedGroup add(StageGroup group, StageWorkListener listener, String box) {
    DelegatedGroup delegated = new DelegatedGroup(group, listener, box);
    byRequest.computeIfAbsent(group.requestId(), id -> new ArrayList<>(2)).add(delegated);
    return delegated;
  }

  /** Removes a group; returns whether it was present. */
  boolean remove(DelegatedGroup delegated) {
    String request = delegated.group().requestId();
    List<DelegatedGroup> groups = byRequest.get(request);
    if (groups == null || !groups.remove(delegated)) {
      return false;
    }
    if (groups.isEmpty()) {
      byRequest.remove(request);
    }
    return true;
  }

  /** Returns a copy of the groups of a request. */
  List<DelegatedGroup> ofRequest(String requestId) {
    return List.copyOf(byRequest.getOrDefault(requestId, List.of()));
  }

  /** Returns a copy of the groups that are delegated to a box. */
  List<DelegatedGroup> ofBox(String box) {
    return byRequest.values().stream()
        .flatMap(List::stream)
        .filter(delegated -> delegated.box().equals(box))
        .toList();
  }
}
