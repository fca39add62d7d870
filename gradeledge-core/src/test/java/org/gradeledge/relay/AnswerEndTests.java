package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.TestDeployments;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Log lines of the ways in which an answer ends. */
@Timeout(30)
class AnswerEndTests {

  private static final String EVENT = "id: 1\ndata: piece\n\n";

  private final SimulatedRelay box =
      new SimulatedRelay(
          TestDeployments.route(SimulatedRelay.HOST, "/path/", Repeatability.RESUMABLE_STREAM),
          upstream());

  // Guards against a cut stream that looks like a refused request in the log.
  @Test
  void tellsCutStreamFromRefusedRequest() throws Exception {
    FakeUpstreamCaller.Call call = send();
    call.beginResponse(200, EVENT);
    call.fail(CallFailure.BROKEN);
    box.runPendingTasks();

    assertThat(box.answers).containsExactly("stream", "abort");
    assertThat(line("request-ended")).contains("\"end\":\"cut\"", "\"sent-bytes\":19");
    assertThat(line("attempt-failed")).contains("\"why\":\"BROKEN\"");
  }

  @Test
  void logsRefusedRequest() throws Exception {
    send().fail(CallFailure.NOT_CONNECTED);
    box.runPendingTasks();

    assertThat(line("request-ended")).contains("\"end\":\"refused\"", "\"sent-bytes\":0");
  }

  @Test
  void logsCompleteStream() throws Exception {
    send().respond(200, EVENT);

    assertThat(line("request-ended")).contains("\"end\":\"complete\"", "\"sent-bytes\":19");
  }

  @Test
  void logsCallerThatLeft() throws Exception {
    send();
    box.disconnectCaller();

    assertThat(line("request-ended")).contains("\"end\":\"caller-left\"");
  }

  // Guards against streams that end with the process without a line.
  @Test
  void logsRequestsInFlightWhenTheProcessEnds() throws Exception {
    send().beginResponse(200, EVENT);
    box.handler().processEnds();

    assertThat(line("request-ended")).contains("\"end\":\"process-ended\"");
  }

  private FakeUpstreamCaller.Call send() throws InterruptedException {
    box.send("r1", List.of());
    return box.upstreamCaller.nextCall();
  }

  private String line(String event) {
    return box.log.await(event).get(0);
  }

  private static UpstreamRecord upstream() {
    return new UpstreamRecord(
        "u1", 0, "service", "10.0.0.1", 1, "zone", 8, false, 0, Optional.of("v1"));
  }
}
