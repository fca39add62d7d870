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

  private static final Duration LIMIT = Duration.ofSeconds(10);
  private static final int PROBE_EACH = 6;

  private final Collection<SoakCall> calls = new ConcurrentLinkedQueue<>();
  private final List<String> added = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new CopyOnWriteArrayList<>();
  private final String run;
  private volatile boolean stopping;
  private volatile long count;

  SoakCallers(String run) {
    this.run = run;
  }

  Collection<SoakCall> calls() {
    return calls;
  }

  /** Callers ask from now on for a route too that was added. */
  void added(String prefix) {
    added.add(prefix);
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
      if (i % PROBE_EACH == 0 && !added.isEmpty()) {
        path = added.get(ThreadLocalRandom.current().nextInt(added.size()));
      }
      call(client, box, path);
    }
  }

  /** Sends one request and notes how it ended. */
  SoakCall call(HttpClient client, SoakBox box, String path) {
    String id = nextId();
    int life = box.life();
    long sent = millis();
    SoakCall call;
    try {
      HttpResponse<String> answer =
          client.send(request(box, path, id), HttpResponse.BodyHandlers.ofString());
      call = ended(id, path, box, life, sent, Optional.of(answer.statusCode()), answer.body());
    } catch (IOException e) {
      call = ended(id, path, box, life, sent, Optional.empty(), String.valueOf(e));
    } catch (InterruptedException e) {
      throw new IllegalStateException("callers are not interrupted", e);
    }
    calls.add(call);
    return call;
  }

  private static SoakCall ended(
      String id,
      String path,
      SoakBox box,
      int life,
      long sent,
      Optional<Integer> status,
      String body) {
    return new SoakCall(id, path, box.number(), life, sent, millis(), status, body);
  }

  private static HttpRequest request(SoakBox box, String path, String id) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + box.callerPort() + path + "x"))
        .timeout(LIMIT)
        .header("X-Request-Id", id)
        .header("X-Deadline-Ms", "4000")
        .header("Authorization", "Bearer " + Fleet.KEY)
        .header("X-Pieces", "2,3")
        .header("X-Piece-Key", "pk")
        .POST(HttpRequest.BodyPublishers.ofString("a body"))
        .build();
  }

  private synchronized String nextId() {
    count++;
    return run + "-" + count;
  }

  static long millis() {
    return System.nanoTime() / 1_000_000;
  }
}
