package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.standin.fleet.SoakChecks.PlannedStop;
import org.junit.jupiter.api.Test;

/** Tests that each check reports a violation and accepts valid results. */
class SoakChecksTests {

  private static final String COMPLETE_STREAM =
      "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\nid: 4\n\nid: 5\n\nid: 6\n\n";

  @Test
  void detectsResponseOfAnotherRequest() {
    assertThat(
            SoakChecks.checkResponses(List.of(newCall("a", "/again/1", 200, "answer of e to a"))))
        .isEmpty();
    assertThat(
            SoakChecks.checkResponses(List.of(newCall("a", "/again/1", 200, "answer of e to b"))))
        .hasSize(1);
    assertThat(SoakChecks.checkResponses(List.of(newCall("a", "/again/1", 200, "answer of"))))
        .hasSize(1);
  }

  @Test
  void detectsIncompleteOrRepeatedStream() {
    assertThat(SoakChecks.checkResponses(List.of(newCall("a", "/resume/1", 200, COMPLETE_STREAM))))
        .isEmpty();
    assertThat(
            SoakChecks.checkResponses(
                List.of(newCall("a", "/resume/1", 200, COMPLETE_STREAM + "id: 6\n"))))
        .hasSize(1);
    assertThat(
            SoakChecks.checkResponses(
                List.of(newCall("a", "/staged/1", 200, COMPLETE_STREAM.replace("id: 3\n", "")))))
        .hasSize(1);
    assertThat(
            SoakChecks.checkResponses(
                List.of(newCall("a", "/staged/1", 200, COMPLETE_STREAM.replace("id: 6\n", "")))))
        .hasSize(1);
  }

  @Test
  void detectsRepeatedRun() {
    assertThat(
            SoakChecks.checkNoRepeatedRuns(
                List.of(newRequest("a", "/once/1"), newRequest("b", "/once/2"))))
        .isEmpty();
    assertThat(
            SoakChecks.checkNoRepeatedRuns(
                List.of(newRequest("a", "/once/1"), newRequest("a", "/once/1"))))
        .hasSize(1);
    assertThat(
            SoakChecks.checkNoRepeatedRuns(
                List.of(newRequest("a", "/again/1"), newRequest("a", "/again/1"))))
        .isEmpty();
  }

  @Test
  void detectsRefusedRequestThatRan() {
    List<SoakCall> refused = List.of(newCall("a", "/once/1", 503, ""));

    assertThat(SoakChecks.checkRefusedNotRun(refused, List.of(newRequest("b", "/once/1"))))
        .isEmpty();
    assertThat(SoakChecks.checkRefusedNotRun(refused, List.of(newRequest("a", "/once/1"))))
        .hasSize(1);
  }

  @Test
  void detectsLostRoute() {
    SoakCall completed = new SoakCall("a", "/add-1/x", 1, 1, 0, 10, Optional.of(200), "");
    SoakCall earlier = new SoakCall("b", "/add-1/x", 1, 1, 9, 10, Optional.of(404), "");
    SoakCall lost = new SoakCall("c", "/add-1/x", 1, 1, 11, 12, Optional.of(404), "");

    assertThat(SoakChecks.checkRoutesKept(List.of(earlier, completed))).isEmpty();
    assertThat(SoakChecks.checkRoutesKept(List.of(completed, lost))).hasSize(1);
  }

  @Test
  void detectsRequestAbortedByPlannedStop() {
    SoakCall aborted = new SoakCall("a", "/once/1", 2, 1, 100, 300, Optional.empty(), "");
    PlannedStop stop = new PlannedStop(2, 1, 200, 400);
    List<ReceivedRequest> executed = List.of(newRequest("a", "/once/1"));

    assertThat(SoakChecks.checkPlannedStops(List.of(aborted), executed, List.of(stop))).hasSize(1);
    assertThat(SoakChecks.checkPlannedStops(List.of(aborted), List.of(), List.of(stop))).isEmpty();
    assertThat(
            SoakChecks.checkPlannedStops(
                List.of(aborted), executed, List.of(new PlannedStop(2, 2, 200, 400))))
        .isEmpty();
  }

  @Test
  void detectsOtherBytesInPlaceOfBody() {
    assertThat(SoakChecks.checkBodiesReadAfterAnswers(List.of(newRead("a body")))).isEmpty();
    assertThat(SoakChecks.checkBodiesReadAfterAnswers(List.of(newRead("POST /")))).hasSize(1);
  }

  private static SoakCall newCall(String id, String path, int status, String body) {
    return new SoakCall(id, path, 1, 1, 0, 10, Optional.of(status), body);
  }

  private static ReceivedRequest newRequest(String id, String path) {
    return new ReceivedRequest("POST", path, Map.of("x-request-id", id), "");
  }

  private static ReceivedRequest newRead(String body) {
    return new ReceivedRequest("POST", "/again/1", Map.of(), body);
  }
}
