package org.gradeledge.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeoutException;
import org.gradeledge.standin.StandInHttp;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Open-loop load generator: sends requests at their scheduled times whether or not earlier requests
 * have completed. Latencies are measured from the scheduled time.
 */
public final class LoadRun {

  private static final int MAX_CONNECTIONS = 2_000;
  private static final Duration TIMEOUT_AFTER_DEADLINE = Duration.ofSeconds(2);

  private final List<String> boxes;
  private final LoadPlan plan;
  private final Duration maxDeadline;
  private final HttpClient client =
      HttpClient.create(
              ConnectionProvider.builder("load")
                  .maxConnections(MAX_CONNECTIONS)
                  .pendingAcquireMaxCount(-1)
                  .build())
          .disableRetry(true);

  /** Creates a run that distributes the requests of a plan over the boxes in turn. */
  public LoadRun(List<String> boxes, LoadPlan plan) {
    this(boxes, plan, Duration.ofDays(1));
  }

  /** Creates a run that limits the deadlines of the requests to a maximum. */
  public LoadRun(List<String> boxes, LoadPlan plan, Duration maxDeadline) {
    this.maxDeadline = maxDeadline;
    this.boxes = List.copyOf(boxes);
    this.plan = plan;
  }

  /** Sends all requests and returns their outcomes. */
  public Mono<List<Outcome>> run() {
    return Mono.defer(
        () -> {
          long start = System.nanoTime();
          return Flux.fromIterable(plan.arrivals())
              .concatMap(
                  arrival -> ScheduledDelay.until(start + arrival.dueNanos()).thenReturn(arrival),
                  1)
              .index()
              .flatMap(
                  indexed ->
                      send(
                          indexed.getT1().intValue(),
                          indexed.getT2().target(),
                          start + indexed.getT2().dueNanos()),
                  Integer.MAX_VALUE)
              .collectList();
        });
  }

  private Mono<Outcome> send(int number, Target target, long dueNanos) {
    String text = SampleTexts.of(target.file().pipeline(), number);
    Duration accountDeadline = target.account().maxDeadline();
    Duration deadline = accountDeadline.compareTo(maxDeadline) < 0 ? accountDeadline : maxDeadline;
    return client
        .headers(
            headers -> {
              headers.set("Authorization", "Bearer " + target.token());
              headers.set("Content-Type", "application/json");
              headers.set("Gradeledge-Deadline-Ms", deadline.toMillis());
              if (target.file().runsAtMostOnce()) {
                headers.set("Idempotency-Key", UUID.randomUUID().toString());
              }
            })
        .post()
        .uri(
            "http://"
                + boxes.get(number % boxes.size())
                + "/v1/pipelines/"
                + target.file().pipeline()
                + "/requests")
        .send(
            Mono.fromSupplier(
                () -> Unpooled.wrappedBuffer(StandInHttp.toJson(Map.of("text", text)))))
        .responseSingle(
            (response, content) ->
                content
                    .asByteArray()
                    .map(
                        body -> classify(response.status().code(), body, text, dueNanos, deadline)))
        .timeout(deadline.plus(TIMEOUT_AFTER_DEADLINE))
        .onErrorResume(
            e -> Mono.just(e instanceof TimeoutException ? "no-answer" : "connection-failed"))
        .map(
            kind ->
                new Outcome(
                    target.file().pipeline(),
                    target.account().name(),
                    kind,
                    System.nanoTime() - dueNanos));
  }

  private static String classify(
      int status, byte[] body, String text, long dueNanos, Duration deadline) {
    JsonNode answer = StandInHttp.parseJson(body);
    if (status != 200) {
      return answer.path("reason").asText("status-" + status);
    }
    if (!isAnswerTo(answer, text)) {
      return Outcome.WRONG;
    }
    boolean late = System.nanoTime() - dueNanos > deadline.toNanos();
    return late ? Outcome.LATE : Outcome.COMPLETED;
  }

  /** Returns whether the result of every stage contains the text of this request unchanged. */
  private static boolean isAnswerTo(JsonNode answer, String text) {
    JsonNode results = answer.path("results");
    for (JsonNode result : results) {
      String json = result.toString();
      boolean matches =
          result.has("generated")
              ? result.path("generated").asText().contains(lastWord(text))
              : json.contains(text);
      if (!matches) {
        return false;
      }
    }
    return results.size() > 0;
  }

  private static String lastWord(String text) {
    return text.substring(text.lastIndexOf(' ') + 1);
  }
}
