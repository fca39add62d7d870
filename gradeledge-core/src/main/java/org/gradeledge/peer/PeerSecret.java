package org.gradeledge.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret that all boxes of a deployment share, proved by HMAC-SHA256 (RFC 2104) over the other
 * side's nonce and never sent. Thread-safe.
 *
 * @since 0.1
 */
public final class PeerSecret {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 16;

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  /** Creates the secret from its text. */
  public PeerSecret(String text) {
    this.key = new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  byte[] newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /** Returns the proof that a side owes: over the nonce it was sent, its name and its direction. */
  byte[] proof(byte[] nonce, PeerHello prover, boolean dialer) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(nonce);
      mac.update((byte) (dialer ? 1 : 0));
      mac.update(ByteBuffer.allocate(Long.BYTES).putLong(0, prover.incarnation()).array());
      mac.update(prover.boxId().getBytes(StandardCharsets.UTF_8));
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  boolean accepts(byte[] given, byte[] nonce, PeerHello prover, boolean dialer) {
    return MessageDigest.isEqual(given, proof(nonce, prover, dialer));
  }

  @Override
  public String toString() {
    return "PeerSecret[hidden]";
  }
}
