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
 * Sends requests at a set rate whether or not earlier ones were answered, so that a slow system
 * cannot slow the load down; times count from when a request was due.
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

  /** Creates a run of a plan over some boxes in turn. */
  public LoadRun(List<String> boxes, LoadPlan plan) {
    this(boxes, plan, Duration.ofDays(1));
  }

  /** As above; deadlines longer than {@code longestDeadline} are cut to it. */
  public LoadRun(List<String> boxes, LoadPlan plan, Duration longestDeadline) {
    this.maxDeadline = longestDeadline;
    this.boxes = List.copyOf(boxes);
    this.plan = plan;
  }

  /** Returns the outcomes of all requests. */
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
                  numbered ->
                      send(
                          numbered.getT1().intValue(),
                          numbered.getT2().target(),
                          start + numbered.getT2().dueNanos()),
                  Integer.MAX_VALUE)
              .collectList();
        });
  }

  private Mono<Outcome> send(int number, Target target, long dueNanos) {
    String text = SampleTexts.of(target.file().pipeline(), number);
    Duration own = target.account().maxDeadline();
    Duration limit = own.compareTo(maxDeadline) < 0 ? own : maxDeadline;
    return client
        .headers(
            headers -> {
              headers.set("Authorization", "Bearer " + target.token());
              headers.set("Content-Type", "application/json");
              headers.set("Gradeledge-Deadline-Ms", limit.toMillis());
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
                    .map(body -> classify(response.status().code(), body, text, dueNanos, limit)))
        .timeout(limit.plus(TIMEOUT_AFTER_DEADLINE))
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
      int status, byte[] body, String text, long dueNanos, Duration limit) {
    JsonNode answer = StandInHttp.parseJson(body);
    if (status != 200) {
      return answer.path("reason").asText("status-" + status);
    }
    if (!isAnswerTo(answer, text)) {
      return Outcome.WRONG;
    }
    boolean late = System.nanoTime() - dueNanos > limit.toNanos();
    return late ? Outcome.LATE : Outcome.COMPLETED;
  }

  /** Every stage's answer must carry this request's own text, each letter as it was sent. */
  private static boolean isAnswerTo(JsonNode answer, String text) {
    JsonNode results = answer.path("results");
    for (JsonNode result : results) {
      String all = result.toString();
      boolean own =
          result.has("generated")
              ? result.path("generated").asText().contains(lastWord(text))
              : all.contains(text);
      if (!own) {
        return false;
      }
    }
    return results.size() > 0;
  }

  private static String lastWord(String text) {
    return text.substring(text.lastIndexOf(' ') + 1);
  }
}
