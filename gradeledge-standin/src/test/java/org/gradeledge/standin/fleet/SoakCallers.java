package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Runs callers that send sequential requests to one box each, on persistent connections, and
 * records the results. Thread-safe.
 */
final class SoakCallers {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final int ADDED_PATH_INTERVAL = 6;
  private static final String IDEMPOTENT_PATH = "/again/";

  private final Collection<SoakCall> calls = new ConcurrentLinkedQueue<>();
  private final Collection<ReceivedAnswer> answers = new ConcurrentLinkedQueue<>();
  private final List<String> addedPaths = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new CopyOnWriteArrayList<>();
  private final String idPrefix;
  private volatile boolean stopping;
  private volatile long requestCount;

  SoakCallers(String idPrefix) {
    this.idPrefix = idPrefix;
  }

  Collection<SoakCall> calls() {
    return calls;
  }

  /** Returns the answers that callers received to their end. */
  Collection<ReceivedAnswer> answers() {
    return answers;
  }

  /** Adds a path to which callers also send requests. */
  void addPath(String prefix) {
    addedPaths.add(prefix);
  }

  void start(SoakBox box, int callers) {
    for (int i = 0; i < callers; i++) {
      threads.add(DaemonThread.start("caller", () -> callUntilStopped(box)));
    }
  }

  /** Starts a caller that sends idempotent requests for a while. */
  void startIdempotent(SoakBox box, long millis) {
    long untilMillis = currentMillis() + millis;
    threads.add(DaemonThread.start("caller", () -> callIdempotently(box, untilMillis)));
  }

  private void callIdempotently(SoakBox box, long untilMillis) {
    HttpClient client = FleetCaller.newClient();
    for (int i = 0; currentMillis() < untilMillis; i++) {
      sendRequest(client, box, IDEMPOTENT_PATH, SoakRequestForm.ofRequest(i));
    }
  }

  void stop() throws InterruptedException {
    stopping = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void callUntilStopped(SoakBox box) {
    HttpClient client = FleetCaller.newClient();
    for (int i = 0; !stopping; i++) {
      String path = FleetConfiguration.PATHS.get(i % FleetConfiguration.PATHS.size());
      if (i % ADDED_PATH_INTERVAL == 0 && !addedPaths.isEmpty()) {
        path = addedPaths.get(ThreadLocalRandom.current().nextInt(addedPaths.size()));
      }
      sendRequest(client, box, path, SoakRequestForm.ofRequest(i));
    }
  }

  /** Sends a request and records its result. */
  SoakCall sendRequest(HttpClient client, SoakBox box, String path) {
    return sendRequest(client, box, path, SoakRequestForm.POST);
  }

  private SoakCall sendRequest(HttpClient client, SoakBox box, String path, SoakRequestForm form) {
    String id = nextId();
    String target = path + "x?call=" + id;
    int incarnation = box.incarnation();
    long sentMillis = currentMillis();
    SoakCall call;
    try {
      HttpResponse<String> response =
          client.send(newRequest(box, target, id, form), HttpResponse.BodyHandlers.ofString());
      boolean resumable = path.equals(FleetConfiguration.RESUMABLE_PATH);
      answers.add(
          ReceivedAnswer.of(form.requestId(id), target, resumable, response, response.body()));
      call =
          newCall(
              id,
              path,
              box,
              incarnation,
              sentMillis,
              Optional.of(response.statusCode()),
              response.body());
    } catch (IOException e) {
      call = newCall(id, path, box, incarnation, sentMillis, Optional.empty(), String.valueOf(e));
    } catch (InterruptedException e) {
      throw new IllegalStateException("callers are not interrupted", e);
    }
    calls.add(call);
    return call;
  }

  private static SoakCall newCall(
      String id,
      String path,
      SoakBox box,
      int incarnation,
      long sentMillis,
      Optional<Integer> status,
      String body) {
    return new SoakCall(
        id, path, box.number(), incarnation, sentMillis, currentMillis(), status, body);
  }

  private static HttpRequest newRequest(
      SoakBox box, String target, String id, SoakRequestForm form) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + box.callerPort() + target))
            .timeout(REQUEST_TIMEOUT)
            .header("X-Deadline-Ms", "4000")
            .header("Authorization", "Bearer " + Fleet.API_KEY)
            .header("X-Pieces", "2,3")
            .header("X-Piece-Key", "pk");
    return form.complete(builder, id).build();
  }

  private synchronized String nextId() {
    requestCount++;
    return idPrefix + "-" + requestCount;
  }

  static long currentMillis() {
    return System.nanoTime() / 1_000_000;
  }
}
