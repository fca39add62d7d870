package org.gradeledge.peer;

/**
 * First frame of each side: who it is, and a nonce for the other side's proof.
 *
 * @param protocolVersion version of the frames and messages
 * @param boxId name of the sender
 * @param incarnation incarnation of the sender
 * @param nonce random bytes that the other side's proof must cover
 */
record PeerHello(int protocolVersion, String boxId, long incarnation, byte[] nonce) {

  static final int PROTOCOL_VERSION = 1;
}
