package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Matcher;

/**
 * Finds another response in the content of one. Where an upstream ends a response in its body and
 * sends another one on the same connection, the content is filled up with bytes of the second. They
 * are taken for a response only if a status line is followed by a header with the id of a call of
 * this connection, as content may speak of HTTP. Confined to the event loop.
 */
final class EmbeddedResponseFinder {

  /** Length of the beginning of a status line that is searched for, without the last byte. */
  private static final int KEPT_LENGTH = "HTTP/1.1 200".length() - 1;

  /** More than the head of a response of an upstream. */
  private static final int MAX_CANDIDATE_LENGTH = 16 * 1024;

  private final Predicate<String> containsId;

  /** End of the content, or the content from the first possible status line on. */
  private final StringBuilder candidate = new StringBuilder();

  private boolean statusLineBegun;

  /**
   * Creates a finder for one response.
   *
   * @param containsId returns whether a text contains a header line with the id of a call
   */
  EmbeddedResponseFinder(Predicate<String> containsId) {
    this.containsId = containsId;
  }

  /** Adds content; returns the status line of another response if there is one in it. */
  Optional<String> add(ByteBuf content) {
    candidate.append(content.toString(StandardCharsets.ISO_8859_1));
    dropBeforeStatusLine();
    return statusLineBegun ? find(candidate, candidate.length()) : Optional.empty();
  }

  /**
   * Returns the status line of another response that begins in the content and goes on after it.
   *
   * @param following what was received after the content
   */
  Optional<String> end(String following) {
    int contentLength = candidate.length();
    return following.isEmpty()
        ? Optional.empty()
        : find(new StringBuilder(candidate).append(following), contentLength);
  }

  private void dropBeforeStatusLine() {
    if (!statusLineBegun) {
      int begin = candidate.indexOf(SecondStatusLine.PROTOCOL);
      statusLineBegun = begin >= 0;
      candidate.delete(0, statusLineBegun ? begin : Math.max(0, candidate.length() - KEPT_LENGTH));
    }
    candidate.setLength(Math.min(candidate.length(), MAX_CANDIDATE_LENGTH));
  }

  private Optional<String> find(CharSequence text, int contentLength) {
    Matcher statusLine = SecondStatusLine.PATTERN.matcher(text);
    while (statusLine.find() && statusLine.start() < contentLength) {
      if (containsId.test(text.subSequence(statusLine.end(), text.length()).toString())) {
        return Optional.of(statusLine.group());
      }
    }
    return Optional.empty();
  }
}
