package org.gradeledge.discovery;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The availability zones that accept no new requests, from the evacuation order with the highest
 * revision. Confined to the event loop.
 */
final class EvacuatedZones {

  private final UpstreamChangeLog changes;
  private ZoneEvacuations current = ZoneEvacuations.UNKNOWN;

  EvacuatedZones(UpstreamChangeLog changes) {
    this.changes = changes;
  }

  ZoneEvacuations current() {
    return current;
  }

  boolean contains(UpstreamRecord upstream) {
    return current.zones().contains(upstream.zone());
  }

  /**
   * Applies an evacuation order if it is newer than the current one. Returns the zones that accept
   * new requests again, or empty if the set of evacuated zones is unchanged.
   */
  Optional<Set<String>> update(ZoneEvacuations order) {
    Set<String> before = current.zones();
    if (!order.isNewerThan(current)) {
      return Optional.empty();
    }
    current = order;
    if (order.zones().equals(before)) {
      return Optional.empty();
    }
    changes.logEvacuations(order, before);
    Set<String> restored = new HashSet<>(before);
    restored.removeAll(order.zones());
    return Optional.of(restored);
  }
}
