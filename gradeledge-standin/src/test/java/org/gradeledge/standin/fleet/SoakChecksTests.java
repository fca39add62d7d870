package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.standin.fleet.SoakChecks.PlannedStop;
import org.junit.jupiter.api.Test;

/** Each check finds a fault that was planted, and nothing where there is none. */
class SoakChecksTests {

  private static final String WHOLE =
      "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\nid: 4\n\nid: 5\n\nid: 6\n\n";

  @Test
  void anotherRequestsAnswerIsFound() {
    assertThat(SoakChecks.ownAnswers(List.of(call("a", "/again/1", 200, "answer of e to a"))))
        .isEmpty();
    assertThat(SoakChecks.ownAnswers(List.of(call("a", "/again/1", 200, "answer of e to b"))))
        .hasSize(1);
    assertThat(SoakChecks.ownAnswers(List.of(call("a", "/again/1", 200, "answer of")))).hasSize(1);
  }

  @Test
  void aStreamWithAGapOrARepeatOrWithoutItsEndIsFound() {
    assertThat(SoakChecks.ownAnswers(List.of(call("a", "/resume/1", 200, WHOLE)))).isEmpty();
    assertThat(SoakChecks.ownAnswers(List.of(call("a", "/resume/1", 200, WHOLE + "id: 6\n"))))
        .hasSize(1);
    assertThat(
            SoakChecks.ownAnswers(
                List.of(call("a", "/staged/1", 200, WHOLE.replace("id: 3\n", "")))))
        .hasSize(1);
    assertThat(
            SoakChecks.ownAnswers(
                List.of(call("a", "/staged/1", 200, WHOLE.replace("id: 6\n", "")))))
        .hasSize(1);
  }

  @Test
  void aSecondRunIsFound() {
    assertThat(SoakChecks.atMostOnce(List.of(ran("a", "/once/1"), ran("b", "/once/2")))).isEmpty();
    assertThat(SoakChecks.atMostOnce(List.of(ran("a", "/once/1"), ran("a", "/once/1")))).hasSize(1);
    assertThat(SoakChecks.atMostOnce(List.of(ran("a", "/again/1"), ran("a", "/again/1"))))
        .isEmpty();
  }

  @Test
  void aFalseNotRunIsFound() {
    List<SoakCall> refused = List.of(call("a", "/once/1", 503, ""));

    assertThat(SoakChecks.notRunIsTrue(refused, List.of(ran("b", "/once/1")))).isEmpty();
    assertThat(SoakChecks.notRunIsTrue(refused, List.of(ran("a", "/once/1")))).hasSize(1);
  }

  @Test
  void aConfigurationThatGoesBackIsFound() {
    SoakCall served = new SoakCall("a", "/add-1/x", 1, 1, 0, 10, Optional.of(200), "");
    SoakCall before = new SoakCall("b", "/add-1/x", 1, 1, 9, 10, Optional.of(404), "");
    SoakCall forgotten = new SoakCall("c", "/add-1/x", 1, 1, 11, 12, Optional.of(404), "");

    assertThat(SoakChecks.neverBack(List.of(before, served))).isEmpty();
    assertThat(SoakChecks.neverBack(List.of(served, forgotten))).hasSize(1);
  }

  @Test
  void aRequestThatAPlannedStopCutIsFound() {
    SoakCall cut = new SoakCall("a", "/once/1", 2, 1, 100, 300, Optional.empty(), "");
    PlannedStop stop = new PlannedStop(2, 1, 200, 400);
    List<ReceivedRequest> ran = List.of(ran("a", "/once/1"));

    assertThat(SoakChecks.stopCutsNothing(List.of(cut), ran, List.of(stop))).hasSize(1);
    assertThat(SoakChecks.stopCutsNothing(List.of(cut), List.of(), List.of(stop))).isEmpty();
    assertThat(
            SoakChecks.stopCutsNothing(List.of(cut), ran, List.of(new PlannedStop(2, 2, 200, 400))))
        .isEmpty();
  }

  private static SoakCall call(String id, String path, int status, String body) {
    return new SoakCall(id, path, 1, 1, 0, 10, Optional.of(status), body);
  }

  private static ReceivedRequest ran(String id, String path) {
    return new ReceivedRequest("POST", path, Map.of("x-request-id", id), "");
  }
}
