package org.gradeledge.platform;

import java.util.List;

/**
 * Result of a transaction.
 *
 * @param committed whether all writes took effect
 * @param revision new revision of all written rows; 0 if not committed
 * @param conflicts keys whose preconditions failed; empty if committed
 * @since 0.1
 */
public record CommitResult(boolean committed, long revision, List<String> conflicts) {

  /** Creates an immutable result. */
  public CommitResult {
    conflicts = List.copyOf(conflicts);
  }
}
