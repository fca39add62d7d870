package org.gradeledge.caller;

import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.gradeledge.http.HttpReplies;
import org.gradeledge.http.RequestBodies;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.request.AnswerEvent;
import org.gradeledge.request.RequestService;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * The routes of the callers' port.
 *
 * @since 0.1
 */
public final class CallerRoutes {

  private static final String PIPELINE_PARAMETER = "pipeline";
  private static final String EVENT_STREAM = "text/event-stream";

  private final RequestService requests;
  private final BoxMetrics metrics;
  private final BooleanSupplier ready;
  private final int maxBodyBytes;

  /**
   * Creates the routes.
   *
   * @param ready whether the balancer is to send work here
   */
  public CallerRoutes(
      RequestService requests, BoxMetrics metrics, BooleanSupplier ready, int maxBodyBytes) {
    this.requests = requests;
    this.metrics = metrics;
    this.ready = ready;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Adds the routes to a port. */
  public void addTo(HttpServerRoutes routes) {
    routes
        .post("/v1/pipelines/{" + PIPELINE_PARAMETER + "}/requests", this::serve)
        .get("/healthz", (request, response) -> sendText(response, 200, "ok\n"))
        .get("/readyz", (request, response) -> readiness(response))
        .get(
            "/metrics",
            (request, response) ->
                HttpReplies.send(response, 200, "text/plain; version=0.0.4", metrics.exposition()));
  }

  private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    String requestId = UUID.randomUUID().toString();
    response.header("Gradeledge-Request-Id", requestId);
    boolean stream = request.requestHeaders().contains("Accept", EVENT_STREAM, true);
    return RequestBodies.read(request, maxBodyBytes)
        .map(body -> CallerRequestReader.read(requestId, request, body))
        .flatMap(
            callerRequest -> {
              Flux<AnswerEvent> events = requests.serve(callerRequest);
              return stream
                  ? AnswerWriter.writeEventStream(requestId, events, response)
                  : AnswerWriter.writeJson(requestId, events, response);
            })
        .onErrorResume(e -> AnswerWriter.writeRefusal(requestId, refusal(requestId, e), response));
  }

  private static RefusalException refusal(String requestId, Throwable e) {
    if (e instanceof RefusalException known) {
      return known;
    }
    Logger.error(e, "request failed before it was admitted: id={}", requestId);
    return RefusalException.forReason(RefusalReason.INTERNAL).cause(e).build();
  }

  private Publisher<Void> readiness(HttpServerResponse response) {
    return ready.getAsBoolean()
        ? sendText(response, 200, "ready\n")
        : sendText(response, 503, "not ready\n");
  }

  private static Mono<Void> sendText(HttpServerResponse response, int status, String body) {
    return HttpReplies.send(
        response, status, "text/plain", body.getBytes(StandardCharsets.US_ASCII));
  }
}
