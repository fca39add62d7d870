package org.gradeledge.peer;

import org.gradeledge.verdict.GradeledgeException;
import org.jspecify.annotations.Nullable;

/**
 * Thrown if a peer is not connected, does not answer in time or sends invalid data.
 *
 * @since 0.1
 */
public final class PeerException extends GradeledgeException {

  /** Creates an exception with a message and an optional cause. */
  public PeerException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }

  static PeerException notConnected(String boxId) {
    return new PeerException(boxId + " is not connected", null);
  }
}
