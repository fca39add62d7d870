package org.gradeledge.quarantine;

import java.util.List;

/**
 * A request is sent to no upstream any more.
 *
 * @param fingerprint which request
 * @param starts the upstreams that ended under it
 * @param ageMillis how long ago the last of those that made the verdict ended
 * @param decidedHere whether this box saw that one end; else it was told, and another box saw it
 * @since 0.3
 */
public record Verdict(
    RequestFingerprint fingerprint, List<String> starts, long ageMillis, boolean decidedHere) {

  /** Copies the list. */
  public Verdict {
    starts = List.copyOf(starts);
  }
}
