package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.gradeledge.standin.fleet.EngineArrival.Answer;

/**
 * What one engine says of itself in its answers, that it leaves or that it wants no requests for a
 * while, and which requests came. Thread-safe.
 *
 * <p>It takes on what others send all the same: whether they heed it is what a test asks.
 */
public final class EngineSignals {

  private static final String YES = "1";
  private static final Pattern DECIMAL = Pattern.compile("\\d+(\\.\\d+)?");
  private static final String ANSWER = "HTTP/";
  private static final String LINE_END = "\r\n";

  private volatile Optional<String> leaving = Optional.empty();
  private volatile Optional<String> retryAfter = Optional.empty();
  private final List<EngineArrival> arrivals = new CopyOnWriteArrayList<>();

  /** From now on all answers say that the engine leaves, in the text given. */
  public void announceLeaving(String text) {
    leaving = Optional.of(text);
  }

  /** From now on all requests are turned away, with the time for which none is wanted. */
  public void turnAway(String seconds) {
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
  public long cameAfter(Answer answer, String path) {
    return arrivals().stream()
        .filter(arrival -> arrival.path().contains(path))
        .dropWhile(arrival -> arrival.answer() != answer)
        .skip(1)
        .count();
  }

  /** Returns how many requests whose path contains a text came so far. */
  public long came(String path) {
    return arrivals().stream().filter(arrival -> arrival.path().contains(path)).count();
  }

  /** Returns whether a request whose path contains a text was answered in a way. */
  public boolean hasAnswered(Answer answer, String path) {
    return arrivals().stream()
        .anyMatch(arrival -> arrival.answer() == answer && arrival.path().contains(path));
  }

  /**
   * Notes a request to a start; returns the seconds that it is to be turned away with, if it is.
   */
  Optional<String> requestCame(SeenRequest request, int start) {
    Optional<String> turnedAway = retryAfter;
    Answer answer =
        turnedAway.isPresent()
            ? Answer.BACKOFF
            : leaving.filter(YES::equals).map(yes -> Answer.LEAVING).orElse(Answer.SILENT);
    arrivals.add(
        new EngineArrival(
            request.header("X-Request-Id"),
            request.path(),
            start,
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            answer,
            turnedAway.map(EngineSignals::millis).orElse(0L)));
    return turnedAway;
  }

  private static long millis(String seconds) {
    return DECIMAL.matcher(seconds).matches() ? (long) (Double.parseDouble(seconds) * 1_000) : 0;
  }

  /** Returns a text of an answer with what the engine says in its head, if it has a head. */
  String addTo(String text) {
    return leaving
        .filter(said -> text.startsWith(ANSWER))
        .map(said -> text.replaceFirst(LINE_END, LINE_END + "Server-Leaving: " + said + LINE_END))
        .orElse(text);
  }
}
