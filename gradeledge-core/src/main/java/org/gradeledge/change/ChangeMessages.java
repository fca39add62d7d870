package org.gradeledge.change;

import java.util.Optional;
import org.gradeledge.peer.PeerMessageType;

/** The peer messages of the configuration change protocol. */
abstract class ChangeMessages {

  static final PeerMessageType<Prepare> PREPARE = new PeerMessageType<>("prepare", Prepare.class);
  static final PeerMessageType<Install> INSTALL = new PeerMessageType<>("install", Install.class);
  static final PeerMessageType<Withdraw> WITHDRAW =
      new PeerMessageType<>("withdraw", Withdraw.class);
  static final PeerMessageType<Fetch> FETCH = new PeerMessageType<>("fetch", Fetch.class);

  private ChangeMessages() {}

  /**
   * Requests that a member prepare a version in addition to the one in force.
   *
   * @param incarnation the receiver's incarnation in the member set
   */
  record Prepare(long incarnation, long version, String submissionId, byte[] text) {}

  /** Response to {@link Prepare}, with the reason if the version was not prepared. */
  record Prepared(boolean prepared, String reason) {}

  /** Announces that a version is accepted. */
  record Install(String pipeline, long version, String submissionId) {}

  /** Response to {@link Install}, with the version now in force on the receiver. */
  record Installed(long version) {}

  /** Announces that a submission is refused. */
  record Withdraw(String pipeline, String submissionId) {}

  /** Requests the text of the version in force. */
  record Fetch(String pipeline) {}

  /** Response to {@link Fetch}; the text is empty if no version is in force. */
  record Fetched(long version, String submissionId, Optional<byte[]> text) {}
}
