package org.gradeledge.standin.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * A caller of one stream. It keeps the events of all its requests, and resumes the stream after the
 * last event that it received. Not thread-safe.
 */
final class StreamCaller {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Pattern DATA = Pattern.compile("data: piece (\\d+) by (\\S+)");
  private static final int OK = 200;
  private static final List<Integer> ALL_EVENTS =
      IntStream.rangeClosed(1, FleetEngine.EVENTS).boxed().toList();

  private final HttpClient client = FleetCaller.newClient();
  private final List<Integer> events = new ArrayList<>();
  private final Set<String> versions = new TreeSet<>();
  private final List<ReceivedAnswer> answers = new ArrayList<>();
  private boolean endedIncomplete;
  private Optional<String> firstRequestId = Optional.empty();
  private Optional<String> retryAfter = Optional.empty();

  /**
   * Sends a request to the box with the given port, which resumes the stream if it has begun.
   * Returns the status of the response; the stream may have ended early nonetheless.
   */
  int send(int port, String path) throws IOException, InterruptedException {
    return send(port, path, Integer.MAX_VALUE);
  }

  /** Does the same, but closes the connection once it has received the given number of events. */
  int send(int port, String path, int maxEvents) throws IOException, InterruptedException {
    String id = UUID.randomUUID().toString();
    HttpResponse<InputStream> response =
        client.send(request(port, path, id), HttpResponse.BodyHandlers.ofInputStream());
    retryAfter = response.headers().firstValue("Retry-After");
    if (response.statusCode() == OK) {
      answers.add(ReceivedAnswer.of(id, path, true, response, ""));
      readEvents(id, response.body(), maxEvents);
    } else {
      String body = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
      answers.add(ReceivedAnswer.of(id, path, true, response, body));
    }
    response.body().close();
    return response.statusCode();
  }

  private HttpRequest request(int port, String path, String id) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(TIMEOUT)
            .header("X-Request-Id", id)
            .header("X-Deadline-Ms", "9000")
            .header("Authorization", "Bearer " + FleetConfiguration.API_KEY)
            .POST(HttpRequest.BodyPublishers.ofString("a body"));
    firstRequestId.ifPresent(first -> builder.header("Resumes", first));
    lastEvent().ifPresent(event -> builder.header("Last-Event-Id", event.toString()));
    return builder.build();
  }

  private void readEvents(String requestId, InputStream body, int maxEvents) {
    int eventsBefore = events.size();
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
      Iterator<String> remaining = lines.lines().iterator();
      while (events.size() - eventsBefore < maxEvents && remaining.hasNext()) {
        readLine(requestId, remaining.next());
      }
      endedIncomplete |= events.size() - eventsBefore < maxEvents && !isComplete();
    } catch (IOException | UncheckedIOException e) {
      // The stream ended early.
    }
  }

  private void readLine(String requestId, String line) {
    Matcher data = DATA.matcher(line);
    if (data.matches()) {
      firstRequestId = firstRequestId.or(() -> Optional.of(requestId));
      events.add(Integer.parseInt(data.group(1)));
      versions.add(data.group(2));
    }
  }

  private Optional<Integer> lastEvent() {
    return events.isEmpty() ? Optional.empty() : Optional.of(events.get(events.size() - 1));
  }

  /** Returns the heads of the answers. */
  List<ReceivedAnswer> answers() {
    return answers;
  }

  /** Returns the number of answers with status 200, some of which may have brought no event. */
  long successCount() {
    return answers.stream().filter(answer -> answer.status() == OK).count();
  }

  /** Returns whether an answer ended in order before the last event. */
  boolean endedIncomplete() {
    return endedIncomplete;
  }

  /** Returns the software versions of the upstreams that sent the events. */
  Set<String> versions() {
    return versions;
  }

  /** Returns whether all events were received once and in order. */
  boolean isComplete() {
    return events.equals(ALL_EVENTS);
  }

  /** Returns the number of events that were received. */
  int eventCount() {
    return events.size();
  }

  /** Returns whether any event was received. */
  boolean hasBegun() {
    return !events.isEmpty();
  }

  /** Returns the retry delay in the last response, in seconds. */
  Optional<String> retryAfter() {
    return retryAfter;
  }

  @Override
  public String toString() {
    return "events " + events + " of " + versions + " by answers " + answers;
  }
}
