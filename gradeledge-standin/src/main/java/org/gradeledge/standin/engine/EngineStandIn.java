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
 * One model engine or plain service on a port of its own. Calls wait for a slot, take the time that
 * the model gives, and are logged when they run.
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

  /** Starts an engine on a port of the loopback interface, 0 for any. */
  public EngineStandIn(int port, EngineTiming model, RunLog log) {
    this.timing = model;
    this.slots = new SlotQueue(model.slots());
    this.log = log;
    this.server =
        StandInServer.start(HttpServer.create().host("127.0.0.1").port(port).route(this::routes));
  }

  /** Returns its port. */
  public int port() {
    return server.port();
  }

  /** Returns the switch of its faults. */
  public FaultInjector<EngineFault> faultInjector() {
    return faultInjector;
  }

  /** Starts to leave: reports and answers say so; work in progress goes on. */
  public void leave() {
    leaving = true;
  }

  /** Starts anew: no longer leaving, under a new incarnation. */
  public void restart() {
    incarnation++;
    leaving = false;
  }

  /** Returns how many calls arrived after it had started to leave. */
  public long callsAfterLeave() {
    return callsAfterLeave.get();
  }

  /** Stops. */
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
            (q, r) -> handleCall(q, r, (body, key) -> EngineResponses.embeddings(body)))
        .post(
            "/v1/retrieve",
            (q, r) -> handleCall(q, r, (body, key) -> EngineResponses.retrieve(body)))
        .post("/v1/rerank", (q, r) -> handleCall(q, r, (body, key) -> EngineResponses.rerank(body)))
        .post("/**", (q, r) -> handleCall(q, r, EngineResponses::service));
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
      HttpServerRequest request, HttpServerResponse response, ResponseFunction work) {
    EngineFault fault = onCallReceived();
    return runInSlot(request, body -> runCall(request, response, work, body, fault));
  }

  private Mono<Void> runInSlot(HttpServerRequest request, Function<JsonNode, Mono<Void>> work) {
    return StandInHttp.readJson(request)
        .flatMap(
            body ->
                slots
                    .acquire()
                    .flatMap(release -> work.apply(body).doFinally(signal -> release.run())))
        .doOnCancel(log::recordCancellation);
  }

  private Mono<Void> runCall(
      HttpServerRequest request,
      HttpServerResponse response,
      ResponseFunction work,
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
              ObjectNode answer = work.apply(body, header(request, "Idempotency-Key"));
              if (fault == EngineFault.ANSWER_LOST) {
                return StandInHttp.closeConnection(response);
              }
              return StandInHttp.sendJson(response, OK, answer)
                  .then(
                      fault == EngineFault.DOUBLED
                          ? sendDuplicate(response, answer)
                          : Mono.empty());
            });
  }

  /** Writes the same answer once more on the raw connection. */
  private static Mono<Void> sendDuplicate(HttpServerResponse response, ObjectNode answer) {
    return Mono.fromRunnable(
        () ->
            response.withConnection(
                connection -> {
                  byte[] body = StandInHttp.toJson(answer);
                  String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
                  connection
                      .channel()
                      .pipeline()
                      .firstContext()
                      .writeAndFlush(
                          Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), body));
                }));
  }

  private Publisher<Void> handleCompletion(HttpServerRequest request, HttpServerResponse response) {
    EngineFault fault = onCallReceived();
    return runInSlot(request, body -> streamCompletion(request, response, body, fault));
  }

  private Mono<Void> streamCompletion(
      HttpServerRequest request, HttpServerResponse response, JsonNode body, EngineFault fault) {
    if (fault == EngineFault.REFUSES || fault == EngineFault.DOWN || fault == EngineFault.FROZEN) {
      return runCall(request, response, (b, k) -> EngineResponses.tokenChunk(""), body, fault);
    }
    addResponseHeaders(request, response, fault);
    recordRun(request);
    List<String> tokens = EngineResponses.completionTokens(body);
    String resume = header(request, UpstreamHeaders.LAST_EVENT_ID);
    int from = resume.isEmpty() ? 0 : Integer.parseInt(resume) + 1;
    int tokensIn = EngineResponses.countWords(body.path("prompt").asText());
    Flux<ByteBuf> written =
        Mono.delay(timing.callTime(slots.running(), slowdownFactor(fault)))
            .thenMany(Flux.range(from, Math.max(0, tokens.size() - from)))
            .concatMap(
                i ->
                    Mono.delay(timing.tokenTime(slots.running(), slowdownFactor(fault)))
                        .thenReturn(event(i, EngineResponses.tokenChunk(tokens.get(i)))),
                1)
            .concatWith(
                Flux.just(
                    event(-1, EngineResponses.finishChunk(tokensIn, tokens.size())),
                    Unpooled.copiedBuffer("data: [DONE]\n\n", StandardCharsets.UTF_8)));
    return response.sse().send(applyStreamFault(written, response, fault), buffer -> true).then();
  }

  private static Flux<ByteBuf> applyStreamFault(
      Flux<ByteBuf> written, HttpServerResponse response, EngineFault fault) {
    return switch (fault) {
      case CUT ->
          written
              .take(TOKENS_BEFORE_CUT)
              .concatWith(
                  Flux.defer(
                      () -> {
                        response.withConnection(connection -> connection.channel().close());
                        return Flux.never();
                      }));
      case ENDS_EARLY -> written.take(TOKENS_BEFORE_CUT);
      case GAP -> written.index().filter(each -> each.getT1() != 1).map(each -> each.getT2());
      default -> written;
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
