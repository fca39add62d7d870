package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what callers get from upstreams that send a second answer to a request. */
@Timeout(60)
class FleetSurplusAnswerTests {

  private static final HttpResponse.BodyHandler<String> BODY_HANDLER =
      HttpResponse.BodyHandlers.ofString();
  private static final int ENGINES = 3;
  private static final int MIN_DEVIATIONS = 40;
  private static final long SEED = 7;

  private final Fleet fleet = new Fleet();
  private final List<FleetEngine> engines = new ArrayList<>();
  private final HttpClient client = FleetCaller.newClient();

  @BeforeEach
  void start() throws Exception {
    for (int engine = 0; engine < ENGINES; engine++) {
      engines.add(fleet.addEngine("plain", EngineKind.PLAIN));
    }
    fleet.startBox();
    fleet.awaitReady(0);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  static Stream<Arguments> partsOfHeads() {
    return Stream.of(SurplusTiming.values())
        .flatMap(
            timing ->
                Stream.of(AnswerCut.REASON_PHRASE, AnswerCut.HEADER_VALUE)
                    .map(cut -> Arguments.of(timing, cut)));
  }

  // Guards against reading the status of one answer and the headers of another as one head.
  @ParameterizedTest
  @MethodSource("partsOfHeads")
  void answersAreThoseOfTheirRunsWhereSecondAnswersStopInTheirHead(
      SurplusTiming timing, AnswerCut cut) throws Exception {
    SurplusAnswer surplus = new SurplusAnswer(timing, true, AnswerFraming.LENGTH, cut);
    for (FleetEngine engine : engines) {
      engine.deviations().begin(List.of(new FailedAnswer(2), surplus), 1, SEED);
    }

    List<ReceivedAnswer> answers = sendUntilDeviated(number -> "r-" + number);

    assertThat(new AnswerChecks(runs()).findViolations(answers)).isEmpty();
    assertThat(answers).anyMatch(answer -> answer.status() == 200);
    assertThat(answers).anyMatch(answer -> answer.status() != 200);
  }

  // Guards against giving the second answer to another request to one that has no id.
  @ParameterizedTest
  @EnumSource(SurplusTiming.class)
  void requestsWithoutIdNeverGetSecondAnswersToOthers(SurplusTiming timing) throws Exception {
    SurplusAnswer surplus = new SurplusAnswer(timing, false, AnswerFraming.LENGTH, AnswerCut.WHOLE);
    for (FleetEngine engine : engines) {
      engine.requireRequestId();
      engine.deviations().begin(List.of(surplus), 1, SEED);
    }

    List<ReceivedAnswer> answers =
        sendUntilDeviated(number -> number % 2 == 0 ? "" : "r-" + number);

    assertThat(new AnswerChecks(runs()).findViolations(answers)).isEmpty();
    assertThat(answers)
        .filteredOn(answer -> answer.requestId().isEmpty())
        .isNotEmpty()
        .noneMatch(answer -> answer.status() == 200);
  }

  private List<ReceivedAnswer> sendUntilDeviated(IntFunction<String> requestIds) throws Exception {
    List<ReceivedAnswer> answers = new ArrayList<>();
    for (int number = 0; deviationCount() < MIN_DEVIATIONS; number++) {
      String id = requestIds.apply(number);
      String path = "/again/" + number;
      HttpResponse<String> response = client.send(request(id, path, number), BODY_HANDLER);
      answers.add(ReceivedAnswer.of(id, path, false, response, response.body()));
    }
    return answers;
  }

  private HttpRequest request(String id, String path, int number) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + fleet.callerPort(0) + path))
            .header("Authorization", "Bearer " + Fleet.API_KEY)
            .header("X-Deadline-Ms", "9000");
    if (!id.isEmpty()) {
      builder.header("X-Request-Id", id);
    }
    return number / 2 % 2 == 0
        ? builder.GET().build()
        : builder.POST(HttpRequest.BodyPublishers.ofString("a body")).build();
  }

  private List<EngineRun> runs() {
    return engines.stream().flatMap(engine -> engine.runs().stream()).toList();
  }

  private int deviationCount() {
    return engines.stream().mapToInt(engine -> engine.deviations().answerCount()).sum();
  }
}
