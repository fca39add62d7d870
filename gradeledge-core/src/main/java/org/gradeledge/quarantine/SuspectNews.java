package org.gradeledge.quarantine;

import java.util.List;

/**
 * What boxes tell each other of requests under which upstreams ended. News may come in any order
 * and any number of times.
 *
 * @param reports what is known of requests
 * @param living starts of upstreams that were heard after somebody took them to have ended
 * @since 0.3
 */
public record SuspectNews(List<SuspectReport> reports, List<String> living) {

  /** Copies the lists. */
  public SuspectNews {
    reports = List.copyOf(reports);
    living = List.copyOf(living);
  }

  /** Returns whether it says nothing. */
  public boolean isEmpty() {
    return reports.isEmpty() && living.isEmpty();
  }
}
