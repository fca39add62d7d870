package org.gradeledge.quarantine;

import java.util.List;

/**
 * An update on suspect requests that boxes exchange. Updates may arrive in any order and
 * repeatedly.
 *
 * @param reports reports on requests
 * @param aliveIncarnationIds incarnations of upstreams that sent data after a crash was recorded
 *     for them
 * @since 0.3
 */
public record SuspectUpdate(List<SuspectReport> reports, List<String> aliveIncarnationIds) {

  /** Copies the lists. */
  public SuspectUpdate {
    reports = List.copyOf(reports);
    aliveIncarnationIds = List.copyOf(aliveIncarnationIds);
  }

  /** Returns whether the update is empty. */
  public boolean isEmpty() {
    return reports.isEmpty() && aliveIncarnationIds.isEmpty();
  }
}
