package org.gradeledge.batch;

import java.util.List;
import java.util.Optional;

/** Creates groups of pieces for tests. */
final class StageGroups {

  private StageGroups() {}

  static StageGroup group(String request, int pieces) {
    return large(request, pieces, 1);
  }

  static StageGroup large(String request, int pieces, long bytes) {
    return of(request, pieces, 0, bytes, "", 1, 60_000, false);
  }

  static StageGroup due(String request, int pieces, int priority, long dueMillis, boolean first) {
    return of(request, pieces, 0, 1, "", priority, dueMillis, first);
  }

  static StageGroup inZone(String request, String zone, int pieces, long dueMillis) {
    return of(request, pieces, 300_000, 1, zone, 1, dueMillis, false);
  }

  private static StageGroup of(
      String request,
      int pieces,
      long inputBytes,
      long resultBytes,
      String zone,
      int priority,
      long dueMillis,
      boolean first) {
    return new StageGroup(
        "service",
        request,
        0,
        pieces,
        Optional.empty(),
        List.of(),
        inputBytes,
        resultBytes,
        zone,
        priority,
        dueMillis,
        60_000,
        60_000,
        first);
  }
}
