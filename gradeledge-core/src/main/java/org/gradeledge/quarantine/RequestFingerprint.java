package org.gradeledge.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;

/**
 * What makes two requests the same, whichever box they come to: account, method, host, path with
 * its query, and body. The id, the deadline, the connection and what a caller has already seen of a
 * stream differ from try to try and are no part of it. The account is, so that no account can have
 * another one's requests taken for its own.
 *
 * @param high first half of a digest that nobody can find a second request for
 * @param low second half
 * @param shape what is known of a request without looking at its body; see {@link #shapeOf}
 * @since 0.3
 */
public record RequestFingerprint(long high, long low, int shape) {

  /** Signs of the text form: three numbers in hexadecimal. */
  private static final int TEXT_LENGTH = 40;

  private static final int HEXADECIMAL = 16;

  /** Returns the fingerprint of a request; the body is read whole, once. */
  public static RequestFingerprint of(
      String account, String method, String host, String uri, byte[] body) {
    MessageDigest digest = newDigest();
    add(digest, account);
    add(digest, method);
    add(digest, host);
    add(digest, uri);
    digest.update(body);
    ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
    return new RequestFingerprint(
        bytes.getLong(), bytes.getLong(), shapeOf(host, uri, body.length));
  }

  /**
   * Returns what can be told of a request at next to no cost. Requests of different shapes are
   * different, so that a body need only be looked at where something of its shape is known.
   */
  public static int shapeOf(String host, String uri, int bodyLength) {
    return (host.hashCode() * 31 + uri.hashCode()) * 31 + bodyLength;
  }

  /** The length goes first, so that no two lists of texts give the same bytes. */
  private static void add(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

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
        + padded(Integer.toHexString(shape), 8);
  }

  private static String padded(String digits, int length) {
    return "0".repeat(length - digits.length()) + digits;
  }
}
