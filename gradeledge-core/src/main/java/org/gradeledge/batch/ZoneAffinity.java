package org.gradeledge.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.gradeledge.deployment.BatchLimits;

/**
 * Decides which groups wait for an upstream of their own zone (delay scheduling): those that the
 * next calls to the upstreams of the zone can take. The others would wait behind them, while
 * upstreams of other zones are idle. Confined to the event loop.
 */
final class ZoneAffinity {

  /** A group that is due within this number of calls takes any upstream. */
  private static final double URGENT_CALLS = 2;

  private final Set<GroupInProgress> waitingForZone = new HashSet<>();

  /**
   * Creates the decision for one state of the queue.
   *
   * @param groups waiting groups in queue order
   * @param placesByZone pieces that the next calls to the upstreams of each zone can take
   */
  ZoneAffinity(
      List<GroupInProgress> groups,
      Map<String, Double> placesByZone,
      BatchLimits limits,
      long now) {
    Map<String, Double> remaining = new HashMap<>(placesByZone);
    for (GroupInProgress group : groups) {
      double places = remaining.getOrDefault(group.zone(), 0.0);
      remaining.put(group.zone(), places - group.group().pieces());
      if (places > 0 && mayWait(group, limits, now)) {
        waitingForZone.add(group);
      }
    }
  }

  private static boolean mayWait(GroupInProgress group, BatchLimits limits, long now) {
    return group.waitedMillis(now) < group.localityWaitMillis()
        && group.meetsTargetAfter(limits.expectedMillis(1) * URGENT_CALLS, now);
  }

  /** Returns which groups an upstream of a zone may process now. */
  Predicate<GroupInProgress> eligibleIn(String zone) {
    return group -> group.zone().equals(zone) || !waitingForZone.contains(group);
  }
}
