package org.gradeledge.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digests, as lower-case hexadecimal.
 *
 * @since 0.1
 */
public abstract class TextDigest {

  private TextDigest() {}

  /** Returns the digest of some bytes. */
  public static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Returns the digest of a text in UTF-8. */
  public static String sha256(String text) {
    return sha256(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns whether two digests are equal, in a time that does not depend on where they differ. */
  public static boolean matches(String digest, String other) {
    return MessageDigest.isEqual(
        digest.getBytes(StandardCharsets.US_ASCII), other.getBytes(StandardCharsets.US_ASCII));
  }
}
