package org.gradeledge.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * What is to be told of upstreams once a change of the list is over. Each is taken once. Confined
 * to the event loop.
 */
final class PendingUpstreamNotifications {

  private final List<UpstreamRecord> retired = new ArrayList<>();
  private final List<UpstreamRecord> replaced = new ArrayList<>();
  private final List<UpstreamRecord> cold = new ArrayList<>();

  /** Notes one that takes no new work any more. */
  void addRetired(UpstreamRecord upstream) {
    retired.add(upstream);
  }

  /** Notes a start after which another has begun. */
  void addReplaced(UpstreamRecord upstream) {
    replaced.add(upstream);
  }

  /** Notes a report that one is cold. */
  void addCold(UpstreamRecord upstream) {
    cold.add(upstream);
  }

  List<UpstreamRecord> takeRetired() {
    return take(retired);
  }

  List<UpstreamRecord> takeReplaced() {
    return take(replaced);
  }

  List<UpstreamRecord> takeCold() {
    return take(cold);
  }

  private static List<UpstreamRecord> take(List<UpstreamRecord> gathered) {
    List<UpstreamRecord> taken = List.copyOf(gathered);
    gathered.clear();
    return taken;
  }
}
