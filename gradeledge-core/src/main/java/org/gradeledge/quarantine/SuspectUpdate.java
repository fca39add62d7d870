package org.gradeledge.quarantine;

import java.util.List;

/**
 * What boxes tell each other of requests under which upstreams ended. News may come in any order
 * and any number of times.
 *
 * @param reports what is known of requests
 * @param aliveIncarnationIds starts of upstreams that were heard after somebody took them to have
 *     ended
 * @since 0.3
 */
public record SuspectUpdate(List<SuspectReport> reports, List<String> aliveIncarnationIds) {

  /** Copies the lists. */
  public SuspectUpdate {
    reports = List.copyOf(reports);
    aliveIncarnationIds = List.copyOf(aliveIncarnationIds);
  }

  /** Returns whether it says nothing. */
  public boolean isEmpty() {
    return reports.isEmpty() && aliveIncarnationIds.isEmpty();
  }
}
