package org.gradeledge.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import org.gradeledge.standin.StandInHttp;
import org.gradeledge.standin.fleet.EngineRun.Extent;

/** Raw responses of a fleet engine by its kind. Thread-safe. */
final class FleetEngineResponses {

  private static final int EVENTS_BEFORE_CUT = FleetEngine.EVENTS / 2;

  private final String id;
  private final EngineKind kind;
  private final String softwareVersion;
  private final EngineHistory history;
  private final EngineDeviations deviations;
  private final Supplier<String> handlePrefix;
  private final AtomicInteger handleCount = new AtomicInteger();

  /**
   * Creates the responses of an engine.
   *
   * @param handlePrefix supplies the prefix of the result handles of the current incarnation
   */
  FleetEngineResponses(
      String id,
      EngineKind kind,
      String softwareVersion,
      EngineHistory history,
      EngineDeviations deviations,
      Supplier<String> handlePrefix) {
    this.id = id;
    this.kind = kind;
    this.softwareVersion = softwareVersion;
    this.history = history;
    this.deviations = deviations;
    this.handlePrefix = handlePrefix;
  }

  /** Responds to a request that is run; returns whether the connection stays open. */
  boolean send(EngineFault fault, ReceivedRequest request, EngineConnection caller)
      throws IOException, InterruptedException {
    if (kind == EngineKind.STAGE) {
      return sendStage(fault, request, caller);
    }
    EngineAnswer answer = answer(request);
    return switch (fault) {
      case ANSWER_LOST -> {
        record(answer, Extent.NO_HEAD);
        yield caller.reset();
      }
      case HANG -> {
        record(answer, Extent.NO_HEAD);
        yield caller.hang();
      }
      case SLOW -> caller.sendSlowly(record(answer, Extent.WHOLE));
      case ERROR -> caller.send(record(answer.withStatus(500), Extent.WHOLE).text());
      case CUT -> caller.sendAndClose(truncated(record(answer, Extent.HEAD)));
      case CUT_WITHOUT_LENGTH ->
          caller.sendAndReset(
              record(answer.withFraming(AnswerFraming.CONNECTION), Extent.HEAD).head()
                  + "half of an ans");
      case OTHERS_ANSWER_FIRST ->
          caller.send(
              RawHttpResponse.withBody("another-id", 200, "", "not yours")
                  + record(answer, Extent.WHOLE).text());
      case EXTRA_ANSWER ->
          caller.send(
              record(answer, Extent.WHOLE).text()
                  + RawHttpResponse.withBody(request, 200, "", "once more"));
      default -> sendPlanned(answer, caller);
    };
  }

  private boolean sendPlanned(EngineAnswer answer, EngineConnection caller)
      throws IOException, InterruptedException {
    if (kind == EngineKind.STREAM && !deviations.isActive()) {
      return caller.sendEvents(record(answer, Extent.WHOLE));
    }
    AnswerPlan plan = deviations.plan(answer, caller);
    record(plan.answer(), plan.extent());
    return caller.send(plan);
  }

  private boolean sendStage(EngineFault fault, ReceivedRequest request, EngineConnection caller)
      throws IOException {
    String complete = RawHttpResponse.withBody(request, 200, "", stageBody(request));
    return switch (fault) {
      case ANSWER_LOST -> caller.reset();
      case HANG -> caller.hang();
      case ERROR -> caller.send(RawHttpResponse.withBody(request, 500, "", "failed"));
      case CUT -> caller.sendAndClose(complete.substring(0, complete.length() - 1));
      case CUT_WITHOUT_LENGTH -> caller.sendAndReset("HTTP/1.1 200 OK\r\n\r\n{\"items\":[");
      case OTHERS_ANSWER_FIRST ->
          caller.send(RawHttpResponse.withBody("another-id", 200, "", "not yours") + complete);
      case EXTRA_ANSWER ->
          caller.send(complete + RawHttpResponse.withBody(request, 200, "", "once more"));
      default -> caller.send(complete);
    };
  }

  /** Sends the head of the answer to a request and nothing more. */
  void sendHead(ReceivedRequest request, EngineConnection caller) throws IOException {
    caller.send(record(answer(request), Extent.HEAD).head());
  }

  /** Records a run that ends before it sends anything. */
  void recordUnanswered(ReceivedRequest request) {
    record(answer(request), Extent.NO_HEAD);
  }

  private EngineAnswer record(EngineAnswer answer, Extent extent) {
    history.recordRun(answer.run(extent));
    return answer;
  }

  /** Returns the complete and correct answer to a request. */
  private EngineAnswer answer(ReceivedRequest request) {
    boolean stream = kind == EngineKind.STREAM;
    return new EngineAnswer(
        request,
        history.nextSignature(),
        EngineAnswer.OK,
        stream ? AnswerFraming.CHUNKED : AnswerFraming.LENGTH,
        stream ? "text/event-stream" : "text/plain",
        stream ? events(request, FleetEngine.EVENTS) : List.of(plainBody(request)),
        0);
  }

  /** Returns an answer that ends prematurely. */
  private String truncated(EngineAnswer answer) {
    return kind == EngineKind.STREAM
        ? answer.head()
            + chunks(answer.request(), EVENTS_BEFORE_CUT)
            + RawHttpResponse.chunk("id: 99\ndata: pie")
        : answer.text().replace("answer", "");
  }

  private String plainBody(ReceivedRequest request) {
    return "answer of " + id + " to " + request.header("X-Request-Id");
  }

  private String stageBody(ReceivedRequest request) {
    JsonNode items = StandInHttp.parseJson(RawHttpResponse.bytes(request.body())).path("items");
    return StreamSupport.stream(items.spliterator(), false)
        .map(item -> "{\"handle\":\"" + nextHandle() + "\"}")
        .collect(Collectors.joining(",", "{\"items\":[", "]}"));
  }

  private String nextHandle() {
    return handlePrefix.get() + "-" + handleCount.incrementAndGet();
  }

  private String chunks(ReceivedRequest request, int lastEvent) {
    return events(request, lastEvent).stream()
        .map(RawHttpResponse::chunk)
        .collect(Collectors.joining());
  }

  /** Returns the events of a stream up to the given one that the caller does not have yet. */
  List<String> events(ReceivedRequest request, int lastEvent) {
    String lastEventId = request.header("Last-Event-Id");
    int firstEvent = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
    return IntStream.rangeClosed(firstEvent, lastEvent)
        .mapToObj(number -> event(number, softwareVersion))
        .toList();
  }

  /** Returns an event of a stream. */
  static String event(int number, String softwareVersion) {
    return "id: " + number + "\ndata: piece " + number + " by " + softwareVersion + "\n\n";
  }
}
