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

/** Raw responses of a fleet engine by its kind. Thread-safe. */
final class FleetEngineResponses {

  static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  private static final int EVENTS_BEFORE_CUT = FleetEngine.EVENTS / 2;

  private final String id;
  private final EngineKind kind;
  private final String softwareVersion;
  private final Supplier<String> handlePrefix;
  private final AtomicInteger handleCount = new AtomicInteger();

  /**
   * Creates the responses of an engine.
   *
   * @param handlePrefix supplies the prefix of the result handles of the current incarnation
   */
  FleetEngineResponses(
      String id, EngineKind kind, String softwareVersion, Supplier<String> handlePrefix) {
    this.id = id;
    this.kind = kind;
    this.softwareVersion = softwareVersion;
    this.handlePrefix = handlePrefix;
  }

  /** Responds to a request that is run; returns whether the connection stays open. */
  boolean send(EngineFault fault, ReceivedRequest request, EngineConnection caller)
      throws IOException, InterruptedException {
    return switch (fault) {
      case ANSWER_LOST -> caller.reset();
      case HANG -> caller.hang();
      case SLOW -> caller.sendSlowly(request, events(request, FleetEngine.EVENTS));
      case ERROR ->
          caller.send(RawHttpResponse.withBody(request, 500, "X-Response-Stamp: s\r\n", "failed"));
      case CUT -> caller.sendAndClose(truncated(request));
      case CUT_WITHOUT_LENGTH ->
          caller.sendAndReset(RawHttpResponse.eventStreamHead(request, "") + "half of an ans");
      case OTHERS_ANSWER_FIRST ->
          caller.send(
              RawHttpResponse.withBody("another-id", 200, "", "not yours") + complete(request));
      case EXTRA_ANSWER ->
          caller.send(complete(request) + RawHttpResponse.withBody(request, 200, "", "once more"));
      default -> sendComplete(request, caller);
    };
  }

  private boolean sendComplete(ReceivedRequest request, EngineConnection caller)
      throws IOException, InterruptedException {
    return kind == EngineKind.STREAM
        ? caller.sendEvents(request, events(request, FleetEngine.EVENTS))
        : caller.send(complete(request));
  }

  /** Returns a complete and correct response. */
  String complete(ReceivedRequest request) {
    return switch (kind) {
      case PLAIN ->
          RawHttpResponse.withBody(request, 200, "X-Response-Stamp: s\r\n", plainBody(request));
      case STREAM ->
          RawHttpResponse.eventStreamHead(request, CHUNKED)
              + chunks(request, FleetEngine.EVENTS)
              + "0\r\n\r\n";
      case STAGE -> RawHttpResponse.withBody(request, 200, "", stageBody(request));
    };
  }

  /** Returns a response that ends prematurely. */
  String truncated(ReceivedRequest request) {
    return kind == EngineKind.STREAM
        ? RawHttpResponse.eventStreamHead(request, CHUNKED)
            + chunks(request, EVENTS_BEFORE_CUT)
            + RawHttpResponse.chunk("id: 99\ndata: pie")
        : RawHttpResponse.withBody(request, 200, "X-Response-Stamp: s\r\n", plainBody(request))
            .replace("answer", "");
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
