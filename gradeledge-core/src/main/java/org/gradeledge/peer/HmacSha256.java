package org.gradeledge.peer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * HMAC-SHA256 (RFC 2104) on the platform's SHA-256. The platform's own HMAC is not used: it loads
 * the framework for ciphers with its policies first, which is a fourteenth of the time that the
 * start of a box takes on its threads (by samples). Thread-safe.
 */
final class HmacSha256 {

  private static final String ALGORITHM = "SHA-256";
  private static final int BLOCK_BYTES = 64;
  private static final byte INNER_PAD_BYTE = 0x36;
  private static final byte OUTER_PAD_BYTE = 0x5c;

  private final byte[] innerPad;
  private final byte[] outerPad;

  HmacSha256(String key) {
    byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] block =
        Arrays.copyOf(bytes.length > BLOCK_BYTES ? newDigest().digest(bytes) : bytes, BLOCK_BYTES);
    this.innerPad = xorWithPad(block, INNER_PAD_BYTE);
    this.outerPad = xorWithPad(block, OUTER_PAD_BYTE);
  }

  private static byte[] xorWithPad(byte[] block, byte pad) {
    byte[] padded = new byte[BLOCK_BYTES];
    for (int index = 0; index < BLOCK_BYTES; index++) {
      padded[index] = (byte) (block[index] ^ pad);
    }
    return padded;
  }

  /** Returns the hash of parts that follow each other. */
  byte[] compute(byte[]... parts) {
    MessageDigest digest = newDigest();
    digest.update(innerPad);
    for (byte[] part : parts) {
      digest.update(part);
    }
    byte[] inner = digest.digest();
    digest.update(outerPad);
    return digest.digest(inner);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
