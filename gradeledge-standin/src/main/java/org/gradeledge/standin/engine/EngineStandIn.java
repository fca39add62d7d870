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
import org.gradeledge.standin.FaultSwitch;
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
  private static final int SLOWNESS = 5;

  private final EngineModel model;
  private final SlotQueue slots;
  private final RunLog log;
  private final FaultSwitch<EngineFault> faults = new FaultSwitch<>(EngineFault.NONE);
  private final AtomicLong reports = new AtomicLong();
  private final AtomicLong dispatchedAfterLeave = new AtomicLong();
  private final StandInServer server;
  private volatile boolean leaving;
  private volatile long incarnation = 1;

  /** Starts an engine on a port of the loopback interface, 0 for any. */
  public EngineStandIn(int port, EngineModel model, RunLog log) {
    this.model = model;
    this.slots = new SlotQueue(model.slots());
    this.log = log;
    this.server =
        StandInServer.listen(HttpServer.create().host("127.0.0.1").port(port).route(this::routes));
  }

  /** Returns its port. */
  public int port() {
    return server.port();
  }

  /** Returns the switch of its faults. */
  public FaultSwitch<EngineFault> faults() {
    return faults;
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
    return dispatchedAfterLeave.get();
  }

  /** Stops. */
  public void close() {
    server.close();
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .get("/healthz", (request, response) -> StandInHttp.reply(response, OK, Map.of()))
        .get("/v1/load", (request, response) -> StandInHttp.reply(response, OK, report()))
        .post("/v1/completions", this::complete)
        .post(
            "/v1/embeddings", (q, r) -> answer(q, r, (body, key) -> EngineAnswers.embeddings(body)))
        .post("/v1/retrieve", (q, r) -> answer(q, r, (body, key) -> EngineAnswers.retrieve(body)))
        .post("/v1/rerank", (q, r) -> answer(q, r, (body, key) -> EngineAnswers.rerank(body)))
        .post("/**", (q, r) -> answer(q, r, EngineAnswers::service));
  }

  private interface Work {
    ObjectNode answer(JsonNode body, String idempotencyKey);
  }

  private LoadReport report() {
    return new LoadReport(
        incarnation,
        reports.incrementAndGet(),
        slots.running(),
        slots.waiting(),
        leaving,
        List.of());
  }

  private Publisher<Void> answer(
      HttpServerRequest request, HttpServerResponse response, Work work) {
    EngineFault fault = arrive();
    return inSlot(request, body -> work(request, response, work, body, fault));
  }

  private Mono<Void> inSlot(HttpServerRequest request, Function<JsonNode, Mono<Void>> work) {
    return StandInHttp.json(request)
        .flatMap(
            body ->
                slots
                    .acquire()
                    .flatMap(release -> work.apply(body).doFinally(signal -> release.run())))
        .doOnCancel(log::cancelled);
  }

  private Mono<Void> work(
      HttpServerRequest request,
      HttpServerResponse response,
      Work work,
      JsonNode body,
      EngineFault fault) {
    echo(request, response, fault);
    if (fault == EngineFault.REFUSES) {
      response.header(UpstreamHeaders.VERDICT, "not-run");
      return StandInHttp.reply(response, UNAVAILABLE, Map.of());
    }
    if (fault == EngineFault.DOWN) {
      return StandInHttp.cut(response);
    }
    if (fault == EngineFault.FROZEN) {
      return Mono.never();
    }
    return Mono.delay(model.base(slots.running(), slowness(fault)))
        .flatMap(
            tick -> {
              ran(request);
              ObjectNode answer = work.answer(body, header(request, "Idempotency-Key"));
              if (fault == EngineFault.ANSWER_LOST) {
                return StandInHttp.cut(response);
              }
              return StandInHttp.reply(response, OK, answer)
                  .then(fault == EngineFault.DOUBLED ? again(response, answer) : Mono.empty());
            });
  }

  /** Writes the same answer once more on the raw connection. */
  private static Mono<Void> again(HttpServerResponse response, ObjectNode answer) {
    return Mono.fromRunnable(
        () ->
            response.withConnection(
                connection -> {
                  byte[] body = StandInHttp.write(answer);
                  String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
                  connection
                      .channel()
                      .pipeline()
                      .firstContext()
                      .writeAndFlush(
                          Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), body));
                }));
  }

  private Publisher<Void> complete(HttpServerRequest request, HttpServerResponse response) {
    EngineFault fault = arrive();
    return inSlot(request, body -> stream(request, response, body, fault));
  }

  private Mono<Void> stream(
      HttpServerRequest request, HttpServerResponse response, JsonNode body, EngineFault fault) {
    if (fault == EngineFault.REFUSES || fault == EngineFault.DOWN || fault == EngineFault.FROZEN) {
      return work(request, response, (b, k) -> EngineAnswers.chunk(""), body, fault);
    }
    echo(request, response, fault);
    ran(request);
    List<String> tokens = EngineAnswers.tokens(body);
    String resume = header(request, UpstreamHeaders.LAST_EVENT_ID);
    int from = resume.isEmpty() ? 0 : Integer.parseInt(resume) + 1;
    int tokensIn = EngineAnswers.countWords(body.path("prompt").asText());
    Flux<ByteBuf> written =
        Mono.delay(model.base(slots.running(), slowness(fault)))
            .thenMany(Flux.range(from, Math.max(0, tokens.size() - from)))
            .concatMap(
                i ->
                    Mono.delay(model.token(slots.running(), slowness(fault)))
                        .thenReturn(event(i, EngineAnswers.chunk(tokens.get(i)))),
                1)
            .concatWith(
                Flux.just(
                    event(-1, EngineAnswers.finish(tokensIn, tokens.size())),
                    Unpooled.copiedBuffer("data: [DONE]\n\n", StandardCharsets.UTF_8)));
    return response.sse().send(damage(written, response, fault), buffer -> true).then();
  }

  private static Flux<ByteBuf> damage(
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
        StandInHttp.write(chunk),
        "\n\n".getBytes(StandardCharsets.US_ASCII));
  }

  private EngineFault arrive() {
    if (leaving) {
      dispatchedAfterLeave.incrementAndGet();
    }
    return faults.next();
  }

  private void ran(HttpServerRequest request) {
    log.ran(
        header(request, UpstreamHeaders.REQUEST_ID),
        header(request, UpstreamHeaders.STAGE),
        header(request, "Idempotency-Key"));
  }

  private void echo(HttpServerRequest request, HttpServerResponse response, EngineFault fault) {
    String suffix = fault == EngineFault.SWAPPED ? "-other" : "";
    response.header(
        UpstreamHeaders.REQUEST_ID, header(request, UpstreamHeaders.REQUEST_ID) + suffix);
    response.header(UpstreamHeaders.STAGE, header(request, UpstreamHeaders.STAGE));
    response.header(UpstreamHeaders.ATTEMPT, header(request, UpstreamHeaders.ATTEMPT));
    if (leaving) {
      response.header(UpstreamHeaders.LEAVING, "true");
    }
  }

  private static int slowness(EngineFault fault) {
    return fault == EngineFault.SLOW ? SLOWNESS : 1;
  }

  private static String header(HttpServerRequest request, String name) {
    String value = request.requestHeaders().get(name);
    return value == null ? "" : value;
  }
}
