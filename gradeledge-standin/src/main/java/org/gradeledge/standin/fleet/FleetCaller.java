package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** Sends one box requests of every kind, one after the other. */
final class FleetCaller {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final long READY_TIMEOUT_MILLIS = 20_000;
  private static final long READY_POLL_MILLIS = 50;
  private static final int OK = 200;
  private static final int NO_RESPONSE = 0;

  private final int callerPort;
  private final int readyPort;
  private final HttpClient client = newClient();

  FleetCaller(int callerPort, int readyPort) {
    this.callerPort = callerPort;
    this.readyPort = readyPort;
  }

  /** Returns a client that speaks as callers of the platform do. */
  static HttpClient newClient() {
    return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  }

  /**
   * Waits until the box is ready, sends so many requests and returns their statuses; a box that is
   * not ready in time is sent nothing, which counts as one request without an answer.
   */
  List<Integer> sendRequests(int requests) throws InterruptedException {
    if (!awaitReady()) {
      return List.of(NO_RESPONSE);
    }
    List<Integer> statuses = new ArrayList<>();
    for (int number = 0; number < requests; number++) {
      String path = FleetConfiguration.PATHS.get(number % FleetConfiguration.PATHS.size());
      statuses.add(send(request(callerPort, path, number)));
    }
    return statuses;
  }

  private boolean awaitReady() throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
    HttpRequest ready =
        HttpRequest.newBuilder(uri(readyPort, "/ready")).timeout(REQUEST_TIMEOUT).build();
    int status = send(ready);
    while (status != OK && System.nanoTime() < end) {
      TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
      status = send(ready);
    }
    return status == OK;
  }

  private int send(HttpRequest request) throws InterruptedException {
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return NO_RESPONSE;
    }
  }

  private static HttpRequest request(int port, String path, int number) {
    return HttpRequest.newBuilder(uri(port, path))
        .timeout(REQUEST_TIMEOUT)
        .header("X-Request-Id", UUID.randomUUID().toString())
        .header("X-Deadline-Ms", "8000")
        .header("Authorization", "Bearer " + FleetConfiguration.API_KEY)
        .header("X-Token-Counts", "500,40")
        .header("X-Prompt-Prefix", "5c1e07a2:300," + Integer.toHexString(number) + ":200")
        .header("X-Pieces", "1,2")
        .header("X-Piece-Key", "7c1e07a291bd")
        .POST(HttpRequest.BodyPublishers.ofString("a body"))
        .build();
  }

  private static URI uri(int port, String path) {
    return URI.create("http://127.0.0.1:" + port + path);
  }
}
