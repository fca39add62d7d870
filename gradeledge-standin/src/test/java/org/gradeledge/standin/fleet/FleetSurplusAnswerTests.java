package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what callers get from upstreams that send a second answer to a request. */
@Timeout(60)
class FleetSurplusAnswerTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final int ENGINES = 3;
  private static final int MIN_DEVIATIONS = 40;
  private static final long SEED = 7;

  private final Fleet fleet = new Fleet();
  private final List<FleetEngine> engines = new ArrayList<>();

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

    List<ReceivedAnswer> answers = sendUntilDeviated();

    List<EngineRun> runs = engines.stream().flatMap(engine -> engine.runs().stream()).toList();
    assertThat(new AnswerChecks(runs).findViolations(answers)).isEmpty();
    assertThat(answers).anyMatch(answer -> answer.status() == 200);
    assertThat(answers).anyMatch(answer -> answer.status() != 200);
  }

  private List<ReceivedAnswer> sendUntilDeviated() throws Exception {
    List<ReceivedAnswer> answers = new ArrayList<>();
    for (int number = 0; deviationCount() < MIN_DEVIATIONS; number++) {
      String id = "r-" + number;
      String path = "/again/" + number;
      String[] headers = {AUTHORIZATION[0], AUTHORIZATION[1], "X-Request-Id", id};
      HttpResponse<String> response =
          number % 2 == 0 ? fleet.get(0, path, headers) : fleet.post(0, path, headers);
      answers.add(ReceivedAnswer.of(id, path, false, response, response.body()));
    }
    return answers;
  }

  private int deviationCount() {
    return engines.stream().mapToInt(engine -> engine.deviations().answerCount()).sum();
  }
}
