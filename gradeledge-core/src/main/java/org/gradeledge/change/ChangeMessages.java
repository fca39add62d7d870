package org.gradeledge.change;

import java.util.Optional;
import org.gradeledge.peer.PeerMessageType;

/** The messages between boxes about changes. */
abstract class ChangeMessages {

  static final PeerMessageType<Prepare> PREPARE = new PeerMessageType<>("prepare", Prepare.class);
  static final PeerMessageType<Install> INSTALL = new PeerMessageType<>("install", Install.class);
  static final PeerMessageType<Withdraw> WITHDRAW =
      new PeerMessageType<>("withdraw", Withdraw.class);
  static final PeerMessageType<Fetch> FETCH = new PeerMessageType<>("fetch", Fetch.class);

  private ChangeMessages() {}

  /**
   * Asks a member to hold a version beside the one in force.
   *
   * @param incarnation incarnation under which the receiver is a member
   */
  record Prepare(long incarnation, long version, String submissionId, byte[] text) {}

  /** Answers {@link Prepare}; where not prepared, says why. */
  record Prepared(boolean prepared, String reason) {}

  /** Tells that a version is accepted. */
  record Install(String pipeline, long version, String submissionId) {}

  /** Answers {@link Install} with the version that is now in force. */
  record Installed(long version) {}

  /** Tells that a submission is refused. */
  record Withdraw(String pipeline, String submissionId) {}

  /** Asks for the text of the version in force. */
  record Fetch(String pipeline) {}

  /** Answers {@link Fetch}. */
  record Fetched(long version, String submissionId, Optional<byte[]> text) {}
}
