package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * What one engine says that it takes, and when requests came. Thread-safe.
 *
 * <p>It takes on what others send all the same: whether they keep to the limit is what a test asks.
 */
public final class EngineRateLimit {

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final String RESPONSE_PREFIX = "HTTP/";
  private static final String LINE_END = "\r\n";

  private volatile Optional<String> announcedLimit = Optional.empty();
  private final List<Long> receivedAtNanos = new CopyOnWriteArrayList<>();

  /** From now on all answers name this limit, as it stands here. */
  public void announce(String requestsPerSecond) {
    announcedLimit = Optional.of(requestsPerSecond);
  }

  /** From now on no answer names a limit. */
  public void withdraw() {
    announcedLimit = Optional.empty();
  }

  /** Returns how many requests came so far. */
  public int requestCount() {
    return receivedAtNanos.size();
  }

  /** Returns the most requests that came within 4 s, from a number of requests on. */
  public long maxInWindowAfter(int first) {
    List<Long> counted = List.copyOf(receivedAtNanos).stream().skip(first).sorted().toList();
    return counted.stream()
        .mapToLong(
            from ->
                counted.stream()
                    .filter(each -> each - from >= 0 && each - from < WINDOW_NANOS)
                    .count())
        .max()
        .orElse(0);
  }

  void recordRequest() {
    receivedAtNanos.add(System.nanoTime());
  }

  /** Returns a text of an answer with the limit in its head, if it has a head. */
  String addHeader(String text) {
    return announcedLimit
        .filter(limit -> text.startsWith(RESPONSE_PREFIX))
        .map(limit -> text.replaceFirst(LINE_END, LINE_END + "Server-Limit: " + limit + LINE_END))
        .orElse(text);
  }
}
