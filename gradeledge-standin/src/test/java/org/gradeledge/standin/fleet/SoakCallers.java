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
 * Callers that send one request after the other to a box of their own, on connections that stay
 * open until the process is gone, and note what they saw. Thread-safe.
 */
final class SoakCallers {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final int ADDED_PATH_INTERVAL = 6;

  private final Collection<SoakCall> calls = new ConcurrentLinkedQueue<>();
  private final List<String> addedPaths = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new CopyOnWriteArrayList<>();
  private final String idPrefix;
  private volatile boolean stopping;
  private volatile long requestCount;

  SoakCallers(String run) {
    this.idPrefix = run;
  }

  Collection<SoakCall> calls() {
    return calls;
  }

  /** Callers ask from now on for a route too that was added. */
  void addPath(String prefix) {
    addedPaths.add(prefix);
  }

  void start(SoakBox box, int callers) {
    for (int i = 0; i < callers; i++) {
      threads.add(DaemonThread.start("caller", () -> callUntilStopped(box)));
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
      sendRequest(client, box, path);
    }
  }

  /** Sends one request and notes how it ended. */
  SoakCall sendRequest(HttpClient client, SoakBox box, String path) {
    String id = nextId();
    int life = box.incarnation();
    long sent = currentMillis();
    SoakCall call;
    try {
      HttpResponse<String> answer =
          client.send(request(box, path, id), HttpResponse.BodyHandlers.ofString());
      call = newCall(id, path, box, life, sent, Optional.of(answer.statusCode()), answer.body());
    } catch (IOException e) {
      call = newCall(id, path, box, life, sent, Optional.empty(), String.valueOf(e));
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
      int life,
      long sent,
      Optional<Integer> status,
      String body) {
    return new SoakCall(id, path, box.number(), life, sent, currentMillis(), status, body);
  }

  private static HttpRequest request(SoakBox box, String path, String id) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + box.callerPort() + path + "x"))
        .timeout(REQUEST_TIMEOUT)
        .header("X-Request-Id", id)
        .header("X-Deadline-Ms", "4000")
        .header("Authorization", "Bearer " + Fleet.API_KEY)
        .header("X-Pieces", "2,3")
        .header("X-Piece-Key", "pk")
        .POST(HttpRequest.BodyPublishers.ofString("a body"))
        .build();
  }

  private synchronized String nextId() {
    requestCount++;
    return idPrefix + "-" + requestCount;
  }

  static long currentMillis() {
    return System.nanoTime() / 1_000_000;
  }
}
