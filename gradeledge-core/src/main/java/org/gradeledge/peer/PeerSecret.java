package org.gradeledge.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * The shared secret of all boxes of a deployment. A box proves that it has the secret by an
 * HMAC-SHA256 (RFC 2104) over the peer's nonce; the secret itself is never sent. Thread-safe.
 *
 * @since 0.1
 */
public final class PeerSecret {

  private static final int NONCE_BYTES = 16;

  private final HmacSha256 hmac;
  private final SecureRandom random = new SecureRandom();

  /** Creates the secret from its text. */
  public PeerSecret(String text) {
    this.hmac = new HmacSha256(text);
  }

  byte[] newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /** Returns the HMAC over the nonce, the identity of the prover and whether it dialed. */
  byte[] proof(byte[] nonce, PeerHello prover, boolean dialer) {
    return hmac.compute(
        nonce,
        new byte[] {(byte) (dialer ? 1 : 0)},
        ByteBuffer.allocate(Long.BYTES).putLong(0, prover.incarnation()).array(),
        prover.boxId().getBytes(StandardCharsets.UTF_8));
  }

  boolean isValidProof(byte[] proof, byte[] nonce, PeerHello prover, boolean dialer) {
    return MessageDigest.isEqual(proof, proof(nonce, prover, dialer));
  }

  @Override
  public String toString() {
    return "PeerSecret[hidden]";
  }
}
