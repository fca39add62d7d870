package org.gradeledge.upstream;

import java.util.List;

/**
 * What an upstream says of itself, late by the time it takes to arrive.
 *
 * @param incarnation counts up with each start of the upstream
 * @param sequence counts up with each report of one incarnation
 * @param inFlight calls that it works on
 * @param queued calls that wait
 * @param leaving whether it is to be given no new work
 * @param models models that it holds
 * @since 0.1
 */
public record LoadReport(
    long incarnation,
    long sequence,
    int inFlight,
    int queued,
    boolean leaving,
    List<String> models) {

  /** Copies the list. */
  public LoadReport {
    models = List.copyOf(models);
  }

  /** Returns whether this report is newer than another of the same upstream. */
  public boolean isAfter(LoadReport other) {
    return incarnation == other.incarnation
        ? sequence > other.sequence
        : incarnation > other.incarnation;
  }
}
