package org.gradeledge.quarantine;

import java.util.List;

/**
 * The verdict that quarantines a request.
 *
 * @param fingerprint fingerprint of the request
 * @param incarnationIds incarnations of upstreams that crashed while serving it
 * @param ageMillis time since the last of these crashes
 * @param decidedLocally whether this box detected the last crash; otherwise another box reported it
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
