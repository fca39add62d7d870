package org.gradeledge.quarantine;

import java.util.List;

/**
 * A request is sent to no upstream any more.
 *
 * @param fingerprint which request
 * @param incarnationIds the upstreams that ended under it
 * @param ageMillis how long ago the last of those that made the verdict ended
 * @param decidedLocally whether this box saw that one end; else it was told, and another box saw it
 * @since 0.3
 */
public record QuarantineVerdict(
    RequestFingerprint fingerprint,
    List<String> incarnationIds,
    long ageMillis,
    boolean decidedLocally) {

  /** Copies the list. */
  public QuarantineVerdict {
    incarnationIds = List.copyOf(incarnationIds);
  }
}
