package org.gradeledge.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Notifications that are collected during an update of the list and delivered after it. Each is
 * taken once. Confined to the event loop.
 */
final class PendingUpstreamNotifications {

  private final List<UpstreamRecord> retired = new ArrayList<>();
  private final List<UpstreamRecord> replaced = new ArrayList<>();
  private final List<UpstreamRecord> cold = new ArrayList<>();

  /** Adds an upstream that accepts no new requests any more. */
  void addRetired(UpstreamRecord upstream) {
    retired.add(upstream);
  }

  /** Adds an incarnation that was replaced by a later one. */
  void addReplaced(UpstreamRecord upstream) {
    replaced.add(upstream);
  }

  /** Adds a report that an upstream is cold. */
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

  private static List<UpstreamRecord> take(List<UpstreamRecord> pending) {
    List<UpstreamRecord> taken = List.copyOf(pending);
    pending.clear();
    return taken;
  }
}
