package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Announces the rate limit of an engine in its responses and records when requests arrive. The
 * limit is not enforced, so that tests can check whether callers observe it. Thread-safe.
 */
public final class EngineRateLimit {

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final String RESPONSE_PREFIX = "HTTP/";
  private static final String LINE_END = "\r\n";

  private volatile Optional<String> announcedLimit = Optional.empty();
  private final List<Long> receivedAtNanos = new CopyOnWriteArrayList<>();

  /** Announces a limit in all further responses, with the text unchanged. */
  public void announce(String requestsPerSecond) {
    announcedLimit = Optional.of(requestsPerSecond);
  }

  /** Stops announcing a limit. */
  public void withdraw() {
    announcedLimit = Optional.empty();
  }

  /** Returns the number of requests received. */
  public int requestCount() {
    return receivedAtNanos.size();
  }

  /** Returns the highest number of requests in a window of 4 s, ignoring the first requests. */
  public long maxInWindowAfter(int ignoredRequests) {
    List<Long> timestamps =
        List.copyOf(receivedAtNanos).stream().skip(ignoredRequests).sorted().toList();
    return timestamps.stream()
        .mapToLong(
            windowStart ->
                timestamps.stream()
                    .filter(each -> each - windowStart >= 0 && each - windowStart < WINDOW_NANOS)
                    .count())
        .max()
        .orElse(0);
  }

  void recordRequest() {
    receivedAtNanos.add(System.nanoTime());
  }

  /** Adds the announced limit to the headers of a response; other text is returned unchanged. */
  String addHeader(String text) {
    return announcedLimit
        .filter(limit -> text.startsWith(RESPONSE_PREFIX))
        .map(limit -> text.replaceFirst(LINE_END, LINE_END + "Server-Limit: " + limit + LINE_END))
        .orElse(text);
  }
}
