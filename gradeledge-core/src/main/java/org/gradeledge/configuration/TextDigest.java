package org.gradeledge.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes and compares SHA-256 digests in lower-case hexadecimal.
 *
 * @since 0.1
 */
public abstract class TextDigest {

  private TextDigest() {}

  /** Returns the digest of the bytes. */
  public static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  /** Returns the digest of the UTF-8 encoded text. */
  public static String sha256(String text) {
    return sha256(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Compares two digests in constant time. */
  public static boolean matches(String digest, String other) {
    return MessageDigest.isEqual(
        digest.getBytes(StandardCharsets.US_ASCII), other.getBytes(StandardCharsets.US_ASCII));
  }
}
