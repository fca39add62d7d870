package org.gradeledge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.gradeledge.http.HttpReplies;
import org.gradeledge.http.Problem;
import org.gradeledge.request.AnswerEvent;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.gradeledge.verdict.Verdict;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes answers and refusals: whole as JSON, or as server-sent events. */
abstract class AnswerWriter {

  private static final String VERDICT_HEADER = "Gradeledge-Verdict";
  private static final String VERSION_HEADER = "Gradeledge-Configuration-Version";

  private AnswerWriter() {}

  static Mono<Void> writeJson(
      String requestId, Flux<AnswerEvent> events, HttpServerResponse response) {
    return events
        .ofType(AnswerEvent.Result.class)
        .last()
        .flatMap(
            result ->
                HttpReplies.sendJson(
                    response
                        .header(VERDICT_HEADER, Verdict.COMPLETED.wireName())
                        .header(VERSION_HEADER, String.valueOf(result.version())),
                    200,
                    answer(requestId, result)));
  }

  /** A refusal before the first event is a plain refusal; a later one ends the stream. */
  static Mono<Void> writeEventStream(
      String requestId, Flux<AnswerEvent> events, HttpServerResponse response) {
    return events
        .switchOnFirst(
            (first, all) -> {
              if (first.isOnError()) {
                return all.thenMany(Flux.<Void>empty());
              }
              response.sse().header("Cache-Control", "no-store");
              Flux<ByteBuf> written =
                  all.map(event -> answerEvent(requestId, event))
                      .onErrorResume(
                          RefusalException.class, e -> Flux.just(errorEvent(requestId, e)));
              return response.send(written, buffer -> true).then().flux();
            })
        .then();
  }

  static Mono<Void> writeRefusal(
      String requestId, RefusalException refusal, HttpServerResponse response) {
    response.header(VERDICT_HEADER, refusal.verdict().wireName());
    refusal
        .retryAfter()
        .ifPresent(
            after -> response.header("Retry-After", String.valueOf(roundUpToSeconds(after))));
    boolean closes =
        refusal.reason() == RefusalReason.STOPPING
            || refusal.reason() == RefusalReason.BODY_TOO_LARGE;
    if (closes) {
      response.keepAlive(false);
    }
    return HttpReplies.send(
        response,
        refusal.reason().httpStatus(),
        HttpReplies.PROBLEM,
        HttpReplies.encodeJson(Problem.of(refusal, requestId)));
  }

  private static Answer answer(String requestId, AnswerEvent.Result result) {
    return new Answer(requestId, result.version(), Verdict.COMPLETED.wireName(), result.results());
  }

  private static ByteBuf answerEvent(String requestId, AnswerEvent event) {
    if (event instanceof AnswerEvent.Token token) {
      return serverSentEvent(
          "token", String.valueOf(token.offset()), HttpReplies.encodeJson(token.text()));
    }
    Answer answer = answer(requestId, (AnswerEvent.Result) event);
    return serverSentEvent("result", "", HttpReplies.encodeJson(answer));
  }

  private static ByteBuf errorEvent(String requestId, RefusalException refusal) {
    return serverSentEvent("error", "", HttpReplies.encodeJson(Problem.of(refusal, requestId)));
  }

  private static ByteBuf serverSentEvent(String name, String id, byte[] data) {
    String head = (id.isEmpty() ? "" : "id: " + id + "\n") + "event: " + name + "\ndata: ";
    return Unpooled.wrappedBuffer(
        Unpooled.copiedBuffer(head, StandardCharsets.UTF_8),
        Unpooled.wrappedBuffer(data),
        Unpooled.copiedBuffer("\n\n", StandardCharsets.UTF_8));
  }

  private static long roundUpToSeconds(Duration duration) {
    return Math.max(1, duration.plusMillis(999).toSeconds());
  }
}
