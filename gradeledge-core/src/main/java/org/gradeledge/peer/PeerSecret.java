package org.gradeledge.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * The secret that all boxes of a deployment share, proved by HMAC-SHA256 (RFC 2104) over the other
 * side's nonce and never sent. Thread-safe.
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

  /** Returns the proof that a side owes: over the nonce it was sent, its name and its direction. */
  byte[] proof(byte[] nonce, PeerHello prover, boolean dialer) {
    return hmac.compute(
        nonce,
        new byte[] {(byte) (dialer ? 1 : 0)},
        ByteBuffer.allocate(Long.BYTES).putLong(0, prover.incarnation()).array(),
        prover.boxId().getBytes(StandardCharsets.UTF_8));
  }

  boolean isValidProof(byte[] given, byte[] nonce, PeerHello prover, boolean dialer) {
    return MessageDigest.isEqual(given, proof(nonce, prover, dialer));
  }

  @Override
  public String toString() {
    return "PeerSecret[hidden]";
  }
}
