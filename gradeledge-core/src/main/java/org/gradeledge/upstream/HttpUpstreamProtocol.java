package org.gradeledge.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gradeledge.configuration.UpstreamDefinition;
import org.gradeledge.connection.SecondStatusLine;
import org.gradeledge.document.JsonMappers;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.verdict.RefusalReason;
import org.gradeledge.verdict.Verdict;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Calls upstreams over HTTP/1.1, with OpenAI-compatible messages and server-sent events for
 * streams, and JSON otherwise. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpUpstreamProtocol implements UpstreamProtocol {

  private static final int OK = 200;
  private static final Duration LOAD_REPORT_TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient client;
  private final int maxResponseBytes;
  private final BoxMetrics metrics;
  private final LeavingListener leavingListener;

  /**
   * Creates the protocol.
   *
   * @param client HTTP client with the connection pool to use
   * @param maxResponseBytes maximum size of a response
   * @param leavingListener notified when a response announces that its upstream is leaving
   */
  public HttpUpstreamProtocol(
      HttpClient client,
      int maxResponseBytes,
      BoxMetrics metrics,
      LeavingListener leavingListener) {
    this.client = client;
    this.maxResponseBytes = maxResponseBytes;
    this.metrics = metrics;
    this.leavingListener = leavingListener;
  }

  @Override
  public Flux<UpstreamEvent> call(UpstreamCall call) {
    return Flux.defer(
        () -> {
          AtomicBoolean requestSent = new AtomicBoolean();
          return send(call, requestSent)
              .onErrorMap(e -> toUpstreamException(call, requestSent.get(), e));
        });
  }

  private Flux<UpstreamEvent> send(UpstreamCall call, AtomicBoolean requestSent) {
    StageMessageFormat format = StageMessageFormat.of(call.stage().kind());
    byte[] body = encode(format.body(call));
    return client
        .headers(headers -> addHeaders(headers, call))
        .doOnRequest((request, connection) -> requestSent.set(true))
        .post()
        .uri(uri(call.upstream(), format.path(call)))
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .response((response, content) -> receive(call, format, response, content));
  }

  private Flux<UpstreamEvent> receive(
      UpstreamCall call,
      StageMessageFormat format,
      HttpClientResponse response,
      ByteBufFlux content) {
    HttpHeaders headers = response.responseHeaders();
    if (headers.contains(UpstreamHeaders.LEAVING, "true", true)) {
      leavingListener.onLeaving(call.upstream());
    }
    if (!matchesCall(call, headers)
        || SecondStatusLine.find(response.status(), headers).isPresent()) {
      metrics.droppedAnswer(call.upstream().id());
      return Flux.error(
          failure(
              Verdict.MAY_HAVE_RUN,
              RefusalReason.ANSWER_MISMATCHED,
              call.upstream().id() + " answered another call",
              null));
    }
    if (response.status().code() != OK) {
      return Flux.error(toRefusal(call, response));
    }
    return call.stage().kind().isStreaming()
        ? CompletionStream.read(call, content)
        : readCompleteResponse(format, content).flux();
  }

  private Mono<UpstreamEvent> readCompleteResponse(StageMessageFormat format, ByteBufFlux content) {
    return content
        .asByteArray()
        .collect(() -> new BoundedBytes(maxResponseBytes), BoundedBytes::append)
        .map(
            bytes -> {
              JsonNode responseBody = decode(bytes.toByteArray());
              JsonNode usage = responseBody.path("usage");
              return new UpstreamEvent.Answer(
                  format.extractOutput(responseBody),
                  usage.path("prompt_tokens").asLong(),
                  usage.path("completion_tokens").asLong());
            });
  }

  @Override
  public Mono<LoadReport> fetchLoadReport(UpstreamDefinition upstream) {
    return client
        .get()
        .uri(uri(upstream, "/v1/load"))
        .responseSingle((response, content) -> content.asByteArray())
        .timeout(LOAD_REPORT_TIMEOUT)
        .map(bytes -> decode(bytes, LoadReport.class))
        .onErrorMap(
            e ->
                failure(
                    Verdict.NOT_RUN,
                    RefusalReason.UPSTREAM_FAILED,
                    upstream.id() + " did not return a load report",
                    e));
  }

  private static void addHeaders(HttpHeaders headers, UpstreamCall call) {
    headers.set("Content-Type", "application/json");
    headers.set(UpstreamHeaders.REQUEST_ID, call.requestId());
    headers.set(UpstreamHeaders.STAGE, call.stage().name());
    headers.set(UpstreamHeaders.ATTEMPT, call.attempt());
    headers.set(UpstreamHeaders.TIME_LEFT, Math.max(1, call.timeLeft().toMillis()));
    if (!call.idempotencyKey().isEmpty()) {
      headers.set("Idempotency-Key", call.idempotencyKey());
    }
    call.resumeAfter().ifPresent(offset -> headers.set(UpstreamHeaders.LAST_EVENT_ID, offset));
  }

  private static boolean matchesCall(UpstreamCall call, HttpHeaders headers) {
    return call.requestId().equals(headers.get(UpstreamHeaders.REQUEST_ID))
        && call.stage().name().equals(headers.get(UpstreamHeaders.STAGE))
        && String.valueOf(call.attempt()).equals(headers.get(UpstreamHeaders.ATTEMPT));
  }

  private static UpstreamException toRefusal(UpstreamCall call, HttpClientResponse response) {
    String reportedVerdict = response.responseHeaders().get(UpstreamHeaders.VERDICT);
    boolean trusted = call.upstream().tellsWhetherItRan();
    Verdict verdict =
        trusted && Verdict.NOT_RUN.wireName().equals(reportedVerdict)
            ? Verdict.NOT_RUN
            : Verdict.MAY_HAVE_RUN;
    String message = call.upstream().id() + " refused with status " + response.status().code();
    return failure(verdict, RefusalReason.UPSTREAM_FAILED, message, null);
  }

  private static UpstreamException toUpstreamException(
      UpstreamCall call, boolean requestSent, Throwable e) {
    if (e instanceof UpstreamException upstreamFailure) {
      return upstreamFailure;
    }
    Verdict verdict = requestSent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    String message = call.upstream().id() + (requestSent ? " broke off" : " could not be reached");
    return failure(verdict, RefusalReason.UPSTREAM_FAILED, message, e);
  }

  private static UpstreamException failure(
      Verdict verdict, RefusalReason reason, String message, @Nullable Throwable cause) {
    return new UpstreamException(verdict, reason, message, cause);
  }

  private static String uri(UpstreamDefinition upstream, String path) {
    String host = upstream.host().indexOf(':') >= 0 ? "[" + upstream.host() + "]" : upstream.host();
    return "http://" + host + ":" + upstream.port() + path;
  }

  private static byte[] encode(JsonNode body) {
    try {
      return JsonMappers.json().writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a JSON tree", e);
    }
  }

  private static JsonNode decode(byte[] bytes) {
    return decode(bytes, JsonNode.class);
  }

  private static <T> T decode(byte[] bytes, Class<T> type) {
    try {
      return JsonMappers.json().readValue(bytes, type);
    } catch (IOException e) {
      throw failure(
          Verdict.MAY_HAVE_RUN, RefusalReason.UPSTREAM_FAILED, "an answer must be JSON", e);
    }
  }
}
