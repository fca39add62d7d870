package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests of all kinds to a box, sequentially. Resumable streams after the first are
 * requests to resume it.
 */
final class FleetCaller {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final long READY_TIMEOUT_MILLIS = 20_000;
  private static final long READY_POLL_MILLIS = 50;
  private static final int OK = 200;
  private static final int NO_RESPONSE = 0;

  private final int callerPort;
  private final int readyPort;
  private final HttpClient client = newClient();
  private Optional<String> resumableStream = Optional.empty();

  FleetCaller(int callerPort, int readyPort) {
    this.callerPort = callerPort;
    this.readyPort = readyPort;
  }

  /** Returns an HTTP/1.1 client, as callers of the platform use. */
  static HttpClient newClient() {
    return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  }

  /**
   * Waits until the box is ready, sends the requests and returns their statuses; returns a single
   * {@code NO_RESPONSE} if the box does not become ready in time.
   */
  List<Integer> sendRequests(int requestCount) throws InterruptedException {
    if (!awaitReady()) {
      return List.of(NO_RESPONSE);
    }
    List<Integer> statuses = new ArrayList<>();
    for (int number = 0; number < requestCount; number++) {
      String path = FleetConfiguration.PATHS.get(number % FleetConfiguration.PATHS.size());
      statuses.add(send(request(callerPort, path, number)));
    }
    return statuses;
  }

  private boolean awaitReady() throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
    HttpRequest readinessCheck =
        HttpRequest.newBuilder(uri(readyPort, "/ready")).timeout(REQUEST_TIMEOUT).build();
    int status = send(readinessCheck);
    while (status != OK && System.nanoTime() < endNanos) {
      TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
      status = send(readinessCheck);
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

  private HttpRequest request(int port, String path, int number) {
    String id = UUID.randomUUID().toString();
    HttpRequest.Builder builder = HttpRequest.newBuilder(uri(port, path));
    if (path.equals(FleetConfiguration.RESUMABLE_PATH)) {
      resumableStream.ifPresent(first -> builder.header("Resumes", first));
      resumableStream.ifPresent(first -> builder.header("Last-Event-Id", "1"));
      resumableStream = resumableStream.or(() -> Optional.of(id));
    }
    return builder
        .timeout(REQUEST_TIMEOUT)
        .header("X-Request-Id", id)
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
