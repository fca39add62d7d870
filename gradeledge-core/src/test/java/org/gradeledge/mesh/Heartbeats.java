package org.gradeledge.mesh;

import java.util.List;
import java.util.Map;
import org.gradeledge.discovery.ZoneEvacuations;

/** Heartbeats for tests. */
final class Heartbeats {

  private Heartbeats() {}

  /** Returns one as older boxes send it, without a number. */
  static Heartbeat of(String zone, long configuration) {
    return of(zone, configuration, 0);
  }

  static Heartbeat withSequenceNumber(String zone, long number) {
    return of(zone, 0, number);
  }

  private static Heartbeat of(String zone, long configuration, long number) {
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
        0,
        number,
        List.of(),
        List.of());
  }
}
