package org.gradeledge.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import org.gradeledge.standin.StandInHttp;

/** The answers of one engine as they stand on the wire. Thread-safe. */
final class EngineTexts {

  static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  private static final int HALF = FleetEngine.EVENTS / 2;

  private final String id;
  private final EngineKind kind;
  private final Supplier<String> place;
  private final AtomicInteger pieces = new AtomicInteger();

  /**
   * Creates the answers.
   *
   * @param place what the results of the start that runs now are named after
   */
  EngineTexts(String id, EngineKind kind, Supplier<String> place) {
    this.id = id;
    this.kind = kind;
    this.place = place;
  }

  /** Returns a whole answer in good order. */
  String good(SeenRequest request) {
    return switch (kind) {
      case PLAIN -> AnswerText.whole(request, 200, "X-Response-Stamp: s\r\n", body(request));
      case STREAM ->
          AnswerText.head(request, CHUNKED) + events(request, FleetEngine.EVENTS) + "0\r\n\r\n";
      case STAGE -> AnswerText.whole(request, 200, "", made(request));
    };
  }

  /** Returns an answer that breaks off in the middle. */
  String half(SeenRequest request) {
    return kind == EngineKind.STREAM
        ? AnswerText.head(request, CHUNKED)
            + events(request, HALF)
            + AnswerText.chunk("id: 99\ndata: pie")
        : AnswerText.whole(request, 200, "X-Response-Stamp: s\r\n", body(request))
            .replace("answer", "");
  }

  private String body(SeenRequest request) {
    return "answer of " + id + " to " + request.header("X-Request-Id");
  }

  private String made(SeenRequest request) {
    JsonNode items = StandInHttp.parse(AnswerText.bytes(request.body())).path("items");
    return StreamSupport.stream(items.spliterator(), false)
        .map(item -> "{\"handle\":\"" + handle() + "\"}")
        .collect(Collectors.joining(",", "{\"items\":[", "]}"));
  }

  private String handle() {
    return place.get() + "-" + pieces.incrementAndGet();
  }

  private static String events(SeenRequest request, int last) {
    String after = request.header("Last-Event-Id");
    int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
    return IntStream.rangeClosed(first, last)
        .mapToObj(n -> AnswerText.chunk("id: " + n + "\ndata: piece " + n + "\n\n"))
        .collect(Collectors.joining());
  }
}
