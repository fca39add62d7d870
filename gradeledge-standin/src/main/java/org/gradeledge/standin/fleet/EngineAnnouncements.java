package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.gradeledge.standin.fleet.EngineArrival.EngineAnnouncement;

/**
 * Announces in the responses of an engine that it is leaving or requests a backoff, and records the
 * requests it receives. A leaving engine still runs requests, so that tests can check whether
 * callers observe the announcement. Thread-safe.
 */
public final class EngineAnnouncements {

  private static final String LEAVING_VALUE = "1";
  private static final Pattern DECIMAL = Pattern.compile("\\d+(\\.\\d+)?");
  private static final String RESPONSE_PREFIX = "HTTP/";
  private static final String LINE_END = "\r\n";

  private volatile Optional<String> leaving = Optional.empty();
  private volatile Optional<String> retryAfter = Optional.empty();
  private final List<EngineArrival> arrivals = new CopyOnWriteArrayList<>();
  private final Runnable onAnnouncement;

  /**
   * Creates no announcements.
   *
   * @param onAnnouncement called after each announcement has begun
   */
  EngineAnnouncements(Runnable onAnnouncement) {
    this.onAnnouncement = onAnnouncement;
  }

  /** Announces in all further responses that the engine is leaving, with the given header value. */
  public void announceLeaving(String text) {
    leaving = Optional.of(text);
    onAnnouncement.run();
  }

  /** Rejects all further requests and requests a backoff of the given time. */
  public void announceBackoff(String seconds) {
    retryAfter = Optional.of(seconds);
    onAnnouncement.run();
  }

  /** Stops all announcements and runs requests again. */
  public void withdraw() {
    leaving = Optional.empty();
    retryAfter = Optional.empty();
  }

  /** Returns whether there is an announcement. */
  boolean isActive() {
    return leaving.isPresent() || retryAfter.isPresent();
  }

  /** Returns the received requests in order. */
  public List<EngineArrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /**
   * Returns the number of requests whose path contains a text and that were received after the
   * first of them that was answered with an announcement.
   */
  public long requestCountAfter(EngineAnnouncement announcement, String path) {
    return arrivals().stream()
        .filter(arrival -> arrival.path().contains(path))
        .dropWhile(arrival -> arrival.announcement() != announcement)
        .skip(1)
        .count();
  }

  /** Returns the number of received requests whose path contains a text. */
  public long requestCount(String path) {
    return arrivals().stream().filter(arrival -> arrival.path().contains(path)).count();
  }

  /** Returns whether a request whose path contains a text was answered with an announcement. */
  public boolean hasAnnounced(EngineAnnouncement announcement, String path) {
    return arrivals().stream()
        .anyMatch(
            arrival -> arrival.announcement() == announcement && arrival.path().contains(path));
  }

  /** Records a request; returns the backoff in seconds if the request is to be rejected. */
  Optional<String> recordRequest(ReceivedRequest request, int incarnation) {
    Optional<String> backoffSeconds = retryAfter;
    EngineAnnouncement announcement =
        backoffSeconds.isPresent()
            ? EngineAnnouncement.BACKOFF
            : leaving
                .filter(LEAVING_VALUE::equals)
                .map(value -> EngineAnnouncement.LEAVING)
                .orElse(EngineAnnouncement.SILENT);
    arrivals.add(
        new EngineArrival(
            request.header("X-Request-Id"),
            request.path(),
            incarnation,
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            announcement,
            backoffSeconds.map(EngineAnnouncements::millis).orElse(0L)));
    return backoffSeconds;
  }

  private static long millis(String seconds) {
    return DECIMAL.matcher(seconds).matches() ? (long) (Double.parseDouble(seconds) * 1_000) : 0;
  }

  /** Adds the leaving announcement to the headers of a response; other text is unchanged. */
  String addHeader(String text) {
    return leaving
        .filter(value -> text.startsWith(RESPONSE_PREFIX))
        .map(value -> text.replaceFirst(LINE_END, LINE_END + "Server-Leaving: " + value + LINE_END))
        .orElse(text);
  }
}
