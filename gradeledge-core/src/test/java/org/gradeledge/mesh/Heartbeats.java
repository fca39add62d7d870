package org.gradeledge.mesh;

import java.util.List;
import java.util.Map;
import org.gradeledge.discovery.ZoneEvacuations;

/** Heartbeats for tests. */
final class Heartbeats {

  private Heartbeats() {}

  static Heartbeat of(String zone, long configuration) {
    return new Heartbeat(
        zone,
        false,
        false,
        1,
        configuration,
        0,
        List.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        ZoneEvacuations.UNKNOWN,
        0,
        0);
  }
}
