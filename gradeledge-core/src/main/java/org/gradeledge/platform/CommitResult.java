package org.gradeledge.platform;

import java.util.List;

/**
 * What the table said of a transaction that it looked at.
 *
 * @param committed whether all writes took effect
 * @param revision the revision that all rows written now have; 0 where nothing was
 * @param conflicts keys whose conditions did not hold; empty where committed
 * @since 0.1
 */
public record CommitResult(boolean committed, long revision, List<String> conflicts) {

  /** Copies the list. */
  public CommitResult {
    conflicts = List.copyOf(conflicts);
  }
}
