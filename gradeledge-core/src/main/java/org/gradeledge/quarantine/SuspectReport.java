package org.gradeledge.quarantine;

import java.util.List;

/**
 * What is known of one request, as boxes tell each other.
 *
 * @param fingerprint which request
 * @param crashes the upstreams that ended under it
 * @param quarantined whether the box that tells holds it back
 * @since 0.3
 */
public record SuspectReport(
    RequestFingerprint fingerprint, List<CrashReport> crashes, boolean quarantined) {

  /** Copies the list. */
  public SuspectReport {
    crashes = List.copyOf(crashes);
  }
}
