package org.gradeledge.peer;

/**
 * First message of the handshake, sent by both sides: identity and a nonce for the peer's proof.
 *
 * @param protocolVersion version of the peer protocol
 * @param boxId name of the sender
 * @param incarnation incarnation of the sender
 * @param nonce random bytes that the peer's proof must cover
 */
record PeerHello(int protocolVersion, String boxId, long incarnation, byte[] nonce) {

  static final int PROTOCOL_VERSION = 1;
}
