package org.gradeledge.upstream;

import java.util.List;

/**
 * Load report of an upstream.
 *
 * @param incarnation increases with each start of the upstream
 * @param sequence increases with each report of one incarnation
 * @param inFlight number of calls that are being processed
 * @param queued number of calls that are queued
 * @param leaving whether the upstream accepts no new requests
 * @param models loaded models
 * @since 0.1
 */
public record LoadReport(
    long incarnation,
    long sequence,
    int inFlight,
    int queued,
    boolean leaving,
    List<String> models) {

  /** Copies the list of models. */
  public LoadReport {
    models = List.copyOf(models);
  }

  /** Returns whether this report is newer than another one of the same upstream. */
  public boolean isAfter(LoadReport other) {
    return incarnation == other.incarnation
        ? sequence > other.sequence
        : incarnation > other.incarnation;
  }
}
