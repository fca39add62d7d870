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
public final class EngineLimit {

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final String ANSWER = "HTTP/";
  private static final String LINE_END = "\r\n";

  private volatile Optional<String> named = Optional.empty();
  private final List<Long> arrivedNanos = new CopyOnWriteArrayList<>();

  /** From now on all answers name this limit, as it stands here. */
  public void name(String requestsPerSecond) {
    named = Optional.of(requestsPerSecond);
  }

  /** From now on no answer names a limit. */
  public void withdraw() {
    named = Optional.empty();
  }

  /** Returns how many requests came so far. */
  public int arrived() {
    return arrivedNanos.size();
  }

  /** Returns the most requests that came within 4 s, from a number of requests on. */
  public long mostInWindowAfter(int first) {
    List<Long> counted = List.copyOf(arrivedNanos).stream().skip(first).sorted().toList();
    return counted.stream()
        .mapToLong(
            from ->
                counted.stream()
                    .filter(each -> each - from >= 0 && each - from < WINDOW_NANOS)
                    .count())
        .max()
        .orElse(0);
  }

  void requestCame() {
    arrivedNanos.add(System.nanoTime());
  }

  /** Returns a text of an answer with the limit in its head, if it has a head. */
  String addTo(String text) {
    return named
        .filter(limit -> text.startsWith(ANSWER))
        .map(limit -> text.replaceFirst(LINE_END, LINE_END + "Server-Limit: " + limit + LINE_END))
        .orElse(text);
  }
}
