package org.gradeledge.text;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Converts between text and the form in which Netty reads and writes message heads: one character
 * for each byte. Text is encoded as UTF-8, which gives different texts different bytes.
 *
 * <p>Values that are only forwarded keep the form in which they were read.
 *
 * @since 0.3
 */
public abstract class HeaderText {

  private static final char FIRST_NON_ASCII = 0x80;
  private static final char DELETE = 0x7f;

  private HeaderText() {}

  /** Returns the form of a text in a message head. */
  public static String encode(String text) {
    return isAscii(text)
        ? text
        : new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  /** Returns the text of a part of a message head; empty if it is not valid UTF-8. */
  public static Optional<String> decode(String header) {
    if (isAscii(header)) {
      return Optional.of(header);
    }
    try {
      ByteBuffer bytes = StandardCharsets.ISO_8859_1.newEncoder().encode(CharBuffer.wrap(header));
      return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
    } catch (CharacterCodingException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the text of a part of a message head, read as ISO-8859-1 if it is not valid UTF-8. Two
   * different parts may have the same text.
   */
  public static String decodeLeniently(String header) {
    return decode(header).orElse(header);
  }

  /**
   * Returns whether a header can have a text as its value: it is not empty, has no control
   * characters, does not begin or end with a blank, and can be encoded.
   */
  public static boolean isSendable(String text) {
    return !text.isEmpty()
        && text.charAt(0) != ' '
        && text.charAt(text.length() - 1) != ' '
        && text.chars().noneMatch(character -> character < ' ' || character == DELETE)
        && (isAscii(text) || StandardCharsets.UTF_8.newEncoder().canEncode(text));
  }

  private static boolean isAscii(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) >= FIRST_NON_ASCII) {
        return false;
      }
    }
    return true;
  }
}
