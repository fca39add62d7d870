package org.gradeledge.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.gradeledge.standin.FaultInjector;
import org.gradeledge.standin.StandInHttp;
import org.gradeledge.standin.StandInServer;
import org.gradeledge.upstream.LoadReport;
import org.gradeledge.upstream.UpstreamHeaders;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Stand-in for a model engine or service on its own port. Calls wait for a slot, take the
 * configured processing time and are recorded in the run log.
 */
public final class EngineStandIn {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int TOKENS_BEFORE_CUT = 3;
  private static final int SLOWDOWN_FACTOR = 5;

  private final EngineTiming timing;
  private final SlotQueue slots;
  private final RunLog log;
  private final FaultInjector<EngineFault> faultInjector = new FaultInjector<>(EngineFault.NONE);
  private final AtomicLong reportSequence = new AtomicLong();
  private final AtomicLong callsAfterLeave = new AtomicLong();
  private final StandInServer server;
  private volatile boolean leaving;
  private volatile long incarnation = 1;

  /** Starts an engine on a port of the loopback interface, 0 for any free port. */
  public EngineStandIn(int port, EngineTiming timing, RunLog log) {
    this.timing = timing;
    this.slots = new SlotQueue(timing.slots());
    this.log = log;
    this.server =
        StandInServer.start(HttpServer.create().host("127.0.0.1").port(port).route(this::routes));
  }

  /** Returns the local port. */
  public int port() {
    return server.port();
  }

  /** Returns the fault injector of the calls. */
  public FaultInjector<EngineFault> faultInjector() {
    return faultInjector;
  }

  /** Announces in load reports and responses that the engine is leaving; calls still run. */
  public void leave() {
    leaving = true;
  }

  /** Continues as a new incarnation that is not leaving. */
  public void restart() {
    incarnation++;
    leaving = false;
  }

  /** Returns the number of calls received after the engine announced that it is leaving. */
  public long callsAfterLeave() {
    return callsAfterLeave.get();
  }

  /** Closes the server. */
  public void close() {
    server.close();
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .get("/healthz", (request, response) -> StandInHttp.sendJson(response, OK, Map.of()))
        .get("/v1/load", (request, response) -> StandInHttp.sendJson(response, OK, loadReport()))
        .post("/v1/completions", this::handleCompletion)
        .post(
            "/v1/embeddings",
            (request, response) ->
                handleCall(request, response, (body, key) -> EngineResponses.embeddings(body)))
        .post(
            "/v1/retrieve",
            (request, response) ->
                handleCall(request, response, (body, key) -> EngineResponses.retrieve(body)))
        .post(
            "/v1/rerank",
            (request, response) ->
                handleCall(request, response, (body, key) -> EngineResponses.rerank(body)))
        .post(
            "/**", (request, response) -> handleCall(request, response, EngineResponses::service));
  }

  private interface ResponseFunction {
    ObjectNode apply(JsonNode body, String idempotencyKey);
  }

  private LoadReport loadReport() {
    return new LoadReport(
        incarnation,
        reportSequence.incrementAndGet(),
        slots.running(),
        slots.waiting(),
        leaving,
        List.of());
  }

  private Publisher<Void> handleCall(
      HttpServerRequest request, HttpServerResponse response, ResponseFunction function) {
    EngineFault fault = onCallReceived();
    return runInSlot(request, body -> runCall(request, response, function, body, fault));
  }

  private Mono<Void> runInSlot(HttpServerRequest request, Function<JsonNode, Mono<Void>> call) {
    return StandInHttp.readJson(request)
        .flatMap(
            body ->
                slots
                    .acquire()
                    .flatMap(release -> call.apply(body).doFinally(signal -> release.run())))
        .doOnCancel(log::recordCancellation);
  }

  private Mono<Void> runCall(
      HttpServerRequest request,
      HttpServerResponse response,
      ResponseFunction function,
      JsonNode body,
      EngineFault fault) {
    addResponseHeaders(request, response, fault);
    if (fault == EngineFault.REFUSES) {
      response.header(UpstreamHeaders.VERDICT, "not-run");
      return StandInHttp.sendJson(response, UNAVAILABLE, Map.of());
    }
    if (fault == EngineFault.DOWN) {
      return StandInHttp.closeConnection(response);
    }
    if (fault == EngineFault.FROZEN) {
      return Mono.never();
    }
    return Mono.delay(timing.callTime(slots.running(), slowdownFactor(fault)))
        .flatMap(
            tick -> {
              recordRun(request);
              ObjectNode result = function.apply(body, header(request, "Idempotency-Key"));
              if (fault == EngineFault.ANSWER_LOST) {
                return StandInHttp.closeConnection(response);
              }
              return StandInHttp.sendJson(response, OK, result)
                  .then(
                      fault == EngineFault.DOUBLED
                          ? sendDuplicate(response, result)
                          : Mono.empty());
            });
  }

  /** Writes the response again, bypassing the HTTP codec. */
  private static Mono<Void> sendDuplicate(HttpServerResponse response, ObjectNode result) {
    return Mono.fromRunnable(
        () ->
            response.withConnection(
                connection -> {
                  byte[] body = StandInHttp.toJson(result);
                  String headers = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
                  connection
                      .channel()
                      .pipeline()
                      .firstContext()
                      .writeAndFlush(
                          Unpooled.wrappedBuffer(
                              headers.getBytes(StandardCharsets.US_ASCII), body));
                }));
  }

  private Publisher<Void> handleCompletion(HttpServerRequest request, HttpServerResponse response) {
    EngineFault fault = onCallReceived();
    return runInSlot(request, body -> streamCompletion(request, response, body, fault));
  }

  private Mono<Void> streamCompletion(
      HttpServerRequest request, HttpServerResponse response, JsonNode body, EngineFault fault) {
    if (fault == EngineFault.REFUSES || fault == EngineFault.DOWN || fault == EngineFault.FROZEN) {
      return runCall(
          request, response, (requestBody, key) -> EngineResponses.tokenChunk(""), body, fault);
    }
    addResponseHeaders(request, response, fault);
    recordRun(request);
    List<String> tokens = EngineResponses.completionTokens(body);
    String lastEventId = header(request, UpstreamHeaders.LAST_EVENT_ID);
    int firstToken = lastEventId.isEmpty() ? 0 : Integer.parseInt(lastEventId) + 1;
    int tokensIn = EngineResponses.countWords(body.path("prompt").asText());
    Flux<ByteBuf> events =
        Mono.delay(timing.callTime(slots.running(), slowdownFactor(fault)))
            .thenMany(Flux.range(firstToken, Math.max(0, tokens.size() - firstToken)))
            .concatMap(
                i ->
                    Mono.delay(timing.tokenTime(slots.running(), slowdownFactor(fault)))
                        .thenReturn(event(i, EngineResponses.tokenChunk(tokens.get(i)))),
                1)
            .concatWith(
                Flux.just(
                    event(-1, EngineResponses.finishChunk(tokensIn, tokens.size())),
                    Unpooled.copiedBuffer("data: [DONE]\n\n", StandardCharsets.UTF_8)));
    return response.sse().send(applyStreamFault(events, response, fault), buffer -> true).then();
  }

  private static Flux<ByteBuf> applyStreamFault(
      Flux<ByteBuf> events, HttpServerResponse response, EngineFault fault) {
    return switch (fault) {
      case CUT ->
          events
              .take(TOKENS_BEFORE_CUT)
              .concatWith(
                  Flux.defer(
                      () -> {
                        response.withConnection(connection -> connection.channel().close());
                        return Flux.never();
                      }));
      case ENDS_EARLY -> events.take(TOKENS_BEFORE_CUT);
      case GAP -> events.index().filter(each -> each.getT1() != 1).map(each -> each.getT2());
      default -> events;
    };
  }

  private static ByteBuf event(int offset, ObjectNode chunk) {
    String id = offset < 0 ? "" : "id: " + offset + "\n";
    return Unpooled.wrappedBuffer(
        (id + "data: ").getBytes(StandardCharsets.US_ASCII),
        StandInHttp.toJson(chunk),
        "\n\n".getBytes(StandardCharsets.US_ASCII));
  }

  private EngineFault onCallReceived() {
    if (leaving) {
      callsAfterLeave.incrementAndGet();
    }
    return faultInjector.nextFault();
  }

  private void recordRun(HttpServerRequest request) {
    log.recordRun(
        header(request, UpstreamHeaders.REQUEST_ID),
        header(request, UpstreamHeaders.STAGE),
        header(request, "Idempotency-Key"));
  }

  private void addResponseHeaders(
      HttpServerRequest request, HttpServerResponse response, EngineFault fault) {
    String suffix = fault == EngineFault.SWAPPED ? "-other" : "";
    response.header(
        UpstreamHeaders.REQUEST_ID, header(request, UpstreamHeaders.REQUEST_ID) + suffix);
    response.header(UpstreamHeaders.STAGE, header(request, UpstreamHeaders.STAGE));
    response.header(UpstreamHeaders.ATTEMPT, header(request, UpstreamHeaders.ATTEMPT));
    if (leaving) {
      response.header(UpstreamHeaders.LEAVING, "true");
    }
  }

  private static int slowdownFactor(EngineFault fault) {
    return fault == EngineFault.SLOW ? SLOWDOWN_FACTOR : 1;
  }

  private static String header(HttpServerRequest request, String name) {
    String value = request.requestHeaders().get(name);
    return value == null ? "" : value;
  }
}
