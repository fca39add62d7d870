package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.gradeledge.standin.fleet.EngineArrival.EngineAnnouncement;

/**
 * What one engine says of itself in its answers, that it leaves or that it wants no requests for a
 * while, and which requests came. Thread-safe.
 *
 * <p>It takes on what others send all the same: whether they heed it is what a test asks.
 */
public final class EngineAnnouncements {

  private static final String LEAVING_VALUE = "1";
  private static final Pattern DECIMAL = Pattern.compile("\\d+(\\.\\d+)?");
  private static final String RESPONSE_PREFIX = "HTTP/";
  private static final String LINE_END = "\r\n";

  private volatile Optional<String> leaving = Optional.empty();
  private volatile Optional<String> retryAfter = Optional.empty();
  private final List<EngineArrival> arrivals = new CopyOnWriteArrayList<>();

  /** From now on all answers say that the engine leaves, in the text given. */
  public void announceLeaving(String text) {
    leaving = Optional.of(text);
  }

  /** From now on all requests are turned away, with the time for which none is wanted. */
  public void announceBackoff(String seconds) {
    retryAfter = Optional.of(seconds);
  }

  /** From now on answers say nothing, and requests are run. */
  public void withdraw() {
    leaving = Optional.empty();
    retryAfter = Optional.empty();
  }

  /** Returns the requests that came, in order. */
  public List<EngineArrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /**
   * Returns how many requests whose path contains a text came after the first of them that was
   * answered in a way.
   */
  public long requestCountAfter(EngineAnnouncement answer, String path) {
    return arrivals().stream()
        .filter(arrival -> arrival.path().contains(path))
        .dropWhile(arrival -> arrival.announcement() != answer)
        .skip(1)
        .count();
  }

  /** Returns how many requests whose path contains a text came so far. */
  public long requestCount(String path) {
    return arrivals().stream().filter(arrival -> arrival.path().contains(path)).count();
  }

  /** Returns whether a request whose path contains a text was answered in a way. */
  public boolean hasAnnounced(EngineAnnouncement answer, String path) {
    return arrivals().stream()
        .anyMatch(arrival -> arrival.announcement() == answer && arrival.path().contains(path));
  }

  /**
   * Notes a request to a start; returns the seconds that it is to be turned away with, if it is.
   */
  Optional<String> recordRequest(ReceivedRequest request, int start) {
    Optional<String> turnedAway = retryAfter;
    EngineAnnouncement answer =
        turnedAway.isPresent()
            ? EngineAnnouncement.BACKOFF
            : leaving
                .filter(LEAVING_VALUE::equals)
                .map(yes -> EngineAnnouncement.LEAVING)
                .orElse(EngineAnnouncement.SILENT);
    arrivals.add(
        new EngineArrival(
            request.header("X-Request-Id"),
            request.path(),
            start,
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            answer,
            turnedAway.map(EngineAnnouncements::millis).orElse(0L)));
    return turnedAway;
  }

  private static long millis(String seconds) {
    return DECIMAL.matcher(seconds).matches() ? (long) (Double.parseDouble(seconds) * 1_000) : 0;
  }

  /** Returns a text of an answer with what the engine says in its head, if it has a head. */
  String addHeader(String text) {
    return leaving
        .filter(said -> text.startsWith(RESPONSE_PREFIX))
        .map(said -> text.replaceFirst(LINE_END, LINE_END + "Server-Leaving: " + said + LINE_END))
        .orElse(text);
  }
}
