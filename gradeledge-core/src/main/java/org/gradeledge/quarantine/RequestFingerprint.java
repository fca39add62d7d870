package org.gradeledge.quarantine;

import java.util.Optional;

/**
 * Stands for a request in all that boxes know and tell of it; see {@link RequestIdentity}.
 *
 * @param high first half of a digest that nobody can find a second request for
 * @param low second half
 * @param shapeHash what is known of a request without looking at its body
 * @since 0.3
 */
public record RequestFingerprint(long high, long low, int shapeHash) {

  /** Signs of the text form: three numbers in hexadecimal. */
  private static final int TEXT_LENGTH = 40;

  private static final int HEXADECIMAL = 16;

  /** Returns the fingerprint that a text is the form of, empty where it is of none. */
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
