package org.gradeledge.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gradeledge.configuration.UpstreamDefinition;
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
 * Upstream calls over HTTP/1.1: the OpenAI-compatible shapes with server-sent events, JSON for the
 * rest. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpUpstreamProtocol implements UpstreamProtocol {

  private static final int OK = 200;
  private static final Duration LOAD_REPORT_TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient client;
  private final int maxAnswerBytes;
  private final BoxMetrics metrics;
  private final LeavingListener leavingListener;

  /**
   * Creates the protocol.
   *
   * @param client client with the pool of connections to use
   * @param maxAnswerBytes largest answer taken in
   * @param leaving told when an answer says that its upstream is leaving
   */
  public HttpUpstreamProtocol(
      HttpClient client, int maxAnswerBytes, BoxMetrics metrics, LeavingListener leaving) {
    this.client = client;
    this.maxAnswerBytes = maxAnswerBytes;
    this.metrics = metrics;
    this.leavingListener = leaving;
  }

  @Override
  public Flux<UpstreamEvent> call(UpstreamCall call) {
    return Flux.defer(
        () -> {
          AtomicBoolean handedOver = new AtomicBoolean();
          return send(call, handedOver)
              .onErrorMap(e -> toUpstreamException(call, handedOver.get(), e));
        });
  }

  private Flux<UpstreamEvent> send(UpstreamCall call, AtomicBoolean handedOver) {
    StageMessageFormat shape = StageMessageFormat.of(call.stage().kind());
    byte[] body = encode(shape.body(call));
    return client
        .headers(headers -> addHeaders(headers, call))
        .doOnRequest((request, connection) -> handedOver.set(true))
        .post()
        .uri(uri(call.upstream(), shape.path(call)))
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .response((response, content) -> receive(call, shape, response, content));
  }

  private Flux<UpstreamEvent> receive(
      UpstreamCall call,
      StageMessageFormat shape,
      HttpClientResponse response,
      ByteBufFlux content) {
    HttpHeaders headers = response.responseHeaders();
    if (headers.contains(UpstreamHeaders.LEAVING, "true", true)) {
      leavingListener.onLeaving(call.upstream());
    }
    if (!matchesCall(call, headers)) {
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
    return call.stage().kind().streams()
        ? CompletionStream.read(call, content)
        : readWhole(shape, content).flux();
  }

  private Mono<UpstreamEvent> readWhole(StageMessageFormat shape, ByteBufFlux content) {
    return content
        .asByteArray()
        .collect(() -> new BoundedBytes(maxAnswerBytes), BoundedBytes::append)
        .map(
            bytes -> {
              JsonNode answer = decode(bytes.toByteArray());
              JsonNode usage = answer.path("usage");
              return new UpstreamEvent.Answer(
                  shape.extractOutput(answer),
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
                    upstream.id() + " gave no load report",
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
    String said = response.responseHeaders().get(UpstreamHeaders.VERDICT);
    boolean trusted = call.upstream().tellsWhetherItRan();
    Verdict verdict =
        trusted && Verdict.NOT_RUN.wireName().equals(said) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    String message = call.upstream().id() + " refused with status " + response.status().code();
    return failure(verdict, RefusalReason.UPSTREAM_FAILED, message, null);
  }

  private static UpstreamException toUpstreamException(
      UpstreamCall call, boolean handedOver, Throwable e) {
    if (e instanceof UpstreamException known) {
      return known;
    }
    Verdict verdict = handedOver ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    String message = call.upstream().id() + (handedOver ? " broke off" : " could not be reached");
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
      throw new IllegalStateException("a JSON tree can always be written", e);
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
