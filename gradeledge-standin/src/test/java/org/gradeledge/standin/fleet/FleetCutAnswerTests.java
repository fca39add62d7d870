package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.gradeledge.standin.fleet.EngineRun.Extent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what callers get from upstreams whose answers end before their last byte. */
@Timeout(120)
class FleetCutAnswerTests {

  private static final int MIN_SERVER_ERROR = 500;
  private static final int MAX_BYTES = 2_000;
  private static final int SILENT_CUTS = 8;
  private static final int BYTES_BETWEEN_SILENT_CUTS = 20;
  private static final String DEADLINE_MILLIS = "1500";

  private final Fleet fleet = new Fleet();
  private List<FleetEngine> engines = List.of();

  @BeforeEach
  void start() throws Exception {
    engines =
        List.of(
            fleet.addEngine("plain", EngineKind.PLAIN),
            fleet.addEngine("model", EngineKind.STREAM));
    fleet.startBox();
    fleet.awaitReady(0);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  private static Stream<Arguments> brokenConnections() {
    return Stream.of(ConnectionEnd.CLOSE, ConnectionEnd.RESET)
        .flatMap(
            end ->
                Stream.of(
                    Arguments.of("/once/x", AnswerFraming.LENGTH, end),
                    Arguments.of("/once/x", AnswerFraming.CHUNKED, end),
                    Arguments.of("/again/x", AnswerFraming.LENGTH, end),
                    Arguments.of("/stream/x", AnswerFraming.CHUNKED, end)));
  }

  // Guards against a success with an empty or short body that looks whole to the caller.
  @ParameterizedTest
  @MethodSource("brokenConnections")
  void answerIsNeverASuccessAfterEachByteButTheLast(
      String path, AnswerFraming framing, ConnectionEnd end) throws Exception {
    begin(framing, end);

    Optional<EngineRun> whole = Optional.empty();
    for (int length = 0; whole.isEmpty() && length < MAX_BYTES; length++) {
      whole = assertFailsUnlessWhole(path, length);
    }

    assertThat(whole).isPresent();
  }

  // Guards against a body without a length that looks whole after its head was cut, or after a
  // reset.
  @ParameterizedTest
  @CsvSource({"/once/x, CLOSE", "/once/x, RESET", "/stream/x, CLOSE", "/stream/x, RESET"})
  void answerWithoutLengthIsNoSuccessAfterEachByteOfItsHead(String path, ConnectionEnd end)
      throws Exception {
    begin(AnswerFraming.CONNECTION, end);

    Extent extent = Extent.NO_HEAD;
    for (int length = 0; extent == Extent.NO_HEAD && length < MAX_BYTES; length++) {
      Attempt attempt = sendUntilRun(path, length);
      extent = attempt.run().extent();
      if (extent == Extent.NO_HEAD || end == ConnectionEnd.RESET) {
        assertThat(attempt.outcome()).as("after %d bytes", length).isNotEqualTo("success");
      }
    }

    assertThat(extent).isEqualTo(Extent.HEAD);
  }

  // Guards against a request that does not end while its upstream sends nothing more.
  @ParameterizedTest
  @CsvSource({"/once/x, LENGTH", "/once/x, CHUNKED", "/stream/x, CHUNKED"})
  void answerThatStopsInSilenceEndsByTheDeadline(String path, AnswerFraming framing)
      throws Exception {
    begin(framing, ConnectionEnd.HANG);

    fleet.runConcurrently(
        SILENT_CUTS, caller -> assertFailsUnlessWhole(path, caller * BYTES_BETWEEN_SILENT_CUTS));

    assertThat(engines).anyMatch(engine -> engine.runs().size() >= SILENT_CUTS);
  }

  /** Sends a request until it is run; returns the run if its answer was whole, and a success. */
  private Optional<EngineRun> assertFailsUnlessWhole(String path, int length) throws Exception {
    Attempt attempt = sendUntilRun(path, length);
    boolean whole = attempt.run().extent() == Extent.WHOLE;
    assertThat(attempt.outcome().equals("success")).as("after %d bytes", length).isEqualTo(whole);
    return Optional.of(attempt.run()).filter(run -> whole);
  }

  private void begin(AnswerFraming framing, ConnectionEnd end) {
    List<AnswerDeviation> deviations =
        List.of(new ReframedAnswer(framing), new CutAsRequested(end));
    engines.forEach(engine -> engine.deviations().begin(deviations, 1, 0));
  }

  /** A run and what its caller got. */
  private record Attempt(EngineRun run, String outcome) {}

  /** Sends a request again, with another id, as long as the box refuses to send it on. */
  private Attempt sendUntilRun(String path, int length) throws Exception {
    while (true) {
      String id = length + "-" + System.nanoTime();
      String outcome = send(path, id, length);
      Optional<EngineRun> run =
          engines.stream()
              .flatMap(engine -> engine.runs().stream())
              .filter(each -> each.requestId().equals(id))
              .findFirst();
      if (run.isPresent()) {
        return new Attempt(run.get(), outcome);
      }
    }
  }

  private String send(String path, String id, int length) throws Exception {
    try {
      HttpResponse<String> response =
          fleet.post(
              0,
              path,
              "Authorization",
              "Bearer " + Fleet.API_KEY,
              "X-Request-Id",
              id,
              "X-Deadline-Ms",
              DEADLINE_MILLIS,
              CutAsRequested.LENGTH_HEADER,
              String.valueOf(length));
      return response.statusCode() >= MIN_SERVER_ERROR ? "failure" : "success";
    } catch (IOException e) {
      return "broken off";
    }
  }
}
