package org.gradeledge.peer;

import org.gradeledge.verdict.GradeledgeException;
import org.jspecify.annotations.Nullable;

/**
 * A message did not reach a peer, or the peer did not answer in time, or what it sent is not valid.
 *
 * @since 0.1
 */
public final class PeerException extends GradeledgeException {

  /** Creates an exception that names the peer or the fault. */
  public PeerException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }

  /** Returns the failure of what needs a connection to a peer where there is none. */
  static PeerException notConnected(String boxId) {
    return new PeerException(boxId + " is not connected", null);
  }
}
