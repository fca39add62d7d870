package org.gradeledge.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import org.gradeledge.standin.StandInHttp;

/** The answers of one engine as they stand on the wire. Thread-safe. */
final class FleetEngineResponses {

  static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  private static final int EVENTS_BEFORE_CUT = FleetEngine.EVENTS / 2;

  private final String id;
  private final EngineKind kind;
  private final Supplier<String> handlePrefix;
  private final AtomicInteger handleCount = new AtomicInteger();

  /**
   * Creates the answers.
   *
   * @param place what the results of the start that runs now are named after
   */
  FleetEngineResponses(String id, EngineKind kind, Supplier<String> place) {
    this.id = id;
    this.kind = kind;
    this.handlePrefix = place;
  }

  /** Returns a whole answer in good order. */
  String complete(ReceivedRequest request) {
    return switch (kind) {
      case PLAIN ->
          RawHttpResponse.withBody(request, 200, "X-Response-Stamp: s\r\n", plainBody(request));
      case STREAM ->
          RawHttpResponse.eventStreamHead(request, CHUNKED)
              + events(request, FleetEngine.EVENTS)
              + "0\r\n\r\n";
      case STAGE -> RawHttpResponse.withBody(request, 200, "", stageBody(request));
    };
  }

  /** Returns an answer that breaks off in the middle. */
  String truncated(ReceivedRequest request) {
    return kind == EngineKind.STREAM
        ? RawHttpResponse.eventStreamHead(request, CHUNKED)
            + events(request, EVENTS_BEFORE_CUT)
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

  private static String events(ReceivedRequest request, int last) {
    String after = request.header("Last-Event-Id");
    int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
    return IntStream.rangeClosed(first, last)
        .mapToObj(n -> RawHttpResponse.chunk("id: " + n + "\ndata: piece " + n + "\n\n"))
        .collect(Collectors.joining());
  }
}
