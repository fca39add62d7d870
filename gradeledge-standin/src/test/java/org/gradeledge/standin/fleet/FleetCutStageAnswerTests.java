package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests requests with stage work whose answers end before their last byte at one upstream. */
@Timeout(60)
class FleetCutStageAnswerTests {

  private static final int OK = 200;

  private final Fleet fleet = new Fleet();
  private FleetEngine model;
  private FleetEngine cutting;
  private FleetEngine whole;

  @BeforeEach
  void start() throws Exception {
    model = fleet.addEngine("model", EngineKind.STREAM);
    cutting = fleet.addEngine("stage", EngineKind.STAGE);
    whole = fleet.addEngine("stage", EngineKind.STAGE);
    fleet.startBox();
    fleet.awaitReady(0);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against inputs from part of an answer for stage work.
  @ParameterizedTest
  @EnumSource(
      value = EngineFault.class,
      names = {"CUT", "CUT_WITHOUT_LENGTH", "ANSWER_LOST"})
  void inputsAreOnlyThoseOfWholeAnswers(EngineFault fault) throws Exception {
    cutting.setFault(fault);

    while (cutting.executedRequests().isEmpty() || model.executedRequests().isEmpty()) {
      HttpResponse<String> response =
          fleet.post(
              0,
              "/staged/x",
              "Authorization",
              "Bearer " + Fleet.API_KEY,
              "X-Token-Counts",
              "500,40",
              "X-Pieces",
              "1,2",
              "X-Piece-Key",
              "7c1e07a291bd");
      if (response.statusCode() == OK) {
        assertThat(response.body()).contains("id: " + FleetEngine.EVENTS + "\n");
      }
    }

    assertThat(model.executedRequests())
        .allSatisfy(
            request ->
                assertThat(List.of(request.header("X-Inputs").split(",")))
                    .hasSize(2)
                    .allMatch(handle -> handle.startsWith(whole.address() + "/")));
  }
}
