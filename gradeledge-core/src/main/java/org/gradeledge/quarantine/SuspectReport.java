package org.gradeledge.quarantine;

import java.util.List;
import java.util.Optional;

/**
 * What is known of one request, as boxes tell each other.
 *
 * @param fingerprint which request
 * @param ends the upstreams that ended under it
 * @param barred whether the box that tells holds it back
 * @param clearedMillis how long ago it was last answered whole, or its verdict lifted; what ended
 *     before that does not count
 * @since 0.3
 */
public record SuspectReport(
    RequestFingerprint fingerprint,
    List<EndReport> ends,
    boolean barred,
    Optional<Long> clearedMillis) {

  /** Copies the list. */
  public SuspectReport {
    ends = List.copyOf(ends);
  }
}
