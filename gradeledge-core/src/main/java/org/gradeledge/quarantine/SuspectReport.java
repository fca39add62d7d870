package org.gradeledge.quarantine;

import java.util.List;

/**
 * The crashes of one suspect, as reported between boxes.
 *
 * @param fingerprint fingerprint of the request or the part of prompts
 * @param crashes crashes of upstreams that served it
 * @param quarantined whether the reporting box quarantines it
 * @param breadth see {@link SuspectIdentity#breadth}; 0 from older versions
 * @since 0.3
 */
public record SuspectReport(
    RequestFingerprint fingerprint, List<CrashReport> crashes, boolean quarantined, int breadth) {

  /** Copies the list. */
  public SuspectReport {
    crashes = List.copyOf(crashes);
  }

  /** Creates a report on a request. */
  public SuspectReport(
      RequestFingerprint fingerprint, List<CrashReport> crashes, boolean quarantined) {
    this(fingerprint, crashes, quarantined, 0);
  }
}
