package org.gradeledge.discovery;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The zones that take no new work, by the newest order that is known. Confined to the event loop.
 */
final class EvacuatedZones {

  private final UpstreamChangeLog changes;
  private ZoneEvacuations held = ZoneEvacuations.UNKNOWN;

  EvacuatedZones(UpstreamChangeLog changes) {
    this.changes = changes;
  }

  ZoneEvacuations held() {
    return held;
  }

  boolean contains(UpstreamRecord upstream) {
    return held.zones().contains(upstream.zone());
  }

  /**
   * Takes on which zones they are, unless something newer is known; returns the zones that take new
   * work again, empty if all is as before.
   */
  Optional<Set<String>> take(ZoneEvacuations told) {
    Set<String> before = held.zones();
    if (!told.isNewerThan(held)) {
      return Optional.empty();
    }
    held = told;
    if (told.zones().equals(before)) {
      return Optional.empty();
    }
    changes.writeZones(told, before);
    Set<String> restored = new HashSet<>(before);
    restored.removeAll(told.zones());
    return Optional.of(restored);
  }
}
