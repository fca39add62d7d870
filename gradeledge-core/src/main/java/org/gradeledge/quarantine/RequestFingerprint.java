package org.gradeledge.quarantine;

import java.util.Optional;

/**
 * Fingerprint of a request or of a part of prompts; see {@link SuspectIdentity}.
 *
 * @param high first half of a collision-resistant digest
 * @param low second half of the digest
 * @param shapeHash hash that is computed without reading the body
 * @since 0.3
 */
public record RequestFingerprint(long high, long low, int shapeHash) {

  /** Length of the text form: three hexadecimal numbers. */
  private static final int TEXT_LENGTH = 40;

  private static final int HEXADECIMAL = 16;

  /** Parses the text form of a fingerprint; empty if the text is not valid. */
  public static Optional<RequestFingerprint> parse(String text) {
    if (text.length() != TEXT_LENGTH || !text.matches("[0-9a-f]+")) {
      return Optional.empty();
    }
    return Optional.of(
        new RequestFingerprint(
            Long.parseUnsignedLong(text, 0, 16, HEXADECIMAL),
            Long.parseUnsignedLong(text, 16, 32, HEXADECIMAL),
            Integer.parseUnsignedInt(text, 32, TEXT_LENGTH, HEXADECIMAL)));
  }

  /** Returns 40 hexadecimal digits. */
  @Override
  public String toString() {
    return padded(Long.toHexString(high), 16)
        + padded(Long.toHexString(low), 16)
        + padded(Integer.toHexString(shapeHash), 8);
  }

  private static String padded(String digits, int length) {
    return "0".repeat(length - digits.length()) + digits;
  }
}
