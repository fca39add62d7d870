package org.gradeledge.discovery;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The zones that take no new work, by the newest order that is known. Confined to the event loop.
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
   * Takes on which zones they are, unless something newer is known; returns the zones that take new
   * work again, empty if all is as before.
   */
  Optional<Set<String>> update(ZoneEvacuations told) {
    Set<String> before = current.zones();
    if (!told.isNewerThan(current)) {
      return Optional.empty();
    }
    current = told;
    if (told.zones().equals(before)) {
      return Optional.empty();
    }
    changes.logEvacuations(told, before);
    Set<String> restored = new HashSet<>(before);
    restored.removeAll(told.zones());
    return Optional.of(restored);
  }
}
