package org.gradeledge.quarantine;

import java.util.List;

/**
 * The crashes of one suspect request, as reported between boxes.
 *
 * @param fingerprint fingerprint of the request
 * @param crashes crashes of upstreams that served it
 * @param quarantined whether the reporting box quarantines it
 * @since 0.3
 */
public record SuspectReport(
    RequestFingerprint fingerprint, List<CrashReport> crashes, boolean quarantined) {

  /** Copies the list. */
  public SuspectReport {
    crashes = List.copyOf(crashes);
  }
}
