package org.gradeledge.connection;

import java.util.regex.Pattern;

/** Status codes as a status line has them (RFC 9112, section 4): three digits. */
final class StatusCode {

  private static final Pattern PATTERN = Pattern.compile("[1-5][0-9]{2}");

  /** Answers a request that no box sends. */
  private static final String SWITCHING_PROTOCOLS = "101";

  private StatusCode() {}

  /**
   * Returns whether a text is the status of a response. Number parsers accept other texts as well,
   * such as {@code 0200} and {@code +200}.
   */
  static boolean isValid(String text) {
    return PATTERN.matcher(text).matches() && !SWITCHING_PROTOCOLS.equals(text);
  }
}
