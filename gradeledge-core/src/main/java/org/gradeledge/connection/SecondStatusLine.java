package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Finds heads that are two in one. Where an upstream ends a response in its head and sends another
 * one on the same connection, a decoder reads one head with the status of the first: the status
 * line of the second is then in the reason phrase or in the value of a header.
 *
 * @since 0.6
 */
public final class SecondStatusLine {

  static final String PROTOCOL = "HTTP/1.";
  static final Pattern PATTERN = Pattern.compile("HTTP/1\\.\\d \\d{3}");

  private SecondStatusLine() {}

  /** Returns the text that contains the status line of another response. */
  public static Optional<String> find(HttpResponseStatus status, HttpHeaders headers) {
    return Stream.concat(
            Stream.of(status.reasonPhrase()), headers.entries().stream().map(Map.Entry::getValue))
        .filter(text -> text.contains(PROTOCOL))
        .filter(text -> PATTERN.matcher(text).find())
        .findFirst();
  }
}
