package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the {@code Keep-Alive} header of responses. */
final class KeepAliveHeader {

  private static final String NAME = "Keep-Alive";
  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,9})\\b");

  private KeepAliveHeader() {}

  /** Returns the time for which the upstream keeps an idle connection open, if it tells one. */
  static Optional<Long> timeoutMillis(HttpResponse response) {
    return Optional.ofNullable(response.headers().get(NAME))
        .map(TIMEOUT::matcher)
        .filter(Matcher::find)
        .map(seconds -> Long.parseLong(seconds.group(1)) * 1_000);
  }
}
