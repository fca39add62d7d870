package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gradeledge.standin.fleet.EngineRun.Extent;
import org.junit.jupiter.api.Test;

/** Tests that the check finds answers which are not those of a run of their request. */
class AnswerChecksTests {

  private static final String PATH = "/again/x";
  private static final EngineRun SERVED = run("s.0.1", "a", 200, Extent.WHOLE, "body of a");
  private static final EngineRun FAILED = run("s.0.2", "a", 500, Extent.WHOLE, "failed");
  private static final EngineRun CUT = run("s.0.3", "a", 200, Extent.HEAD, "body of a");
  private static final EngineRun UNANSWERED = run("s.0.4", "a", 200, Extent.NO_HEAD, "body of a");
  private static final EngineRun OTHER = run("s.0.5", "b", 200, Extent.WHOLE, "body of a");

  @Test
  void acceptsAnswersOfRuns() {
    assertThat(violations(answer(200, "s.0.1", "body of a"))).isEmpty();
    assertThat(violations(answer(500, "s.0.2", "failed"))).isEmpty();
    assertThat(violations(new ReceivedAnswer("a", PATH, false, 502, List.of(), List.of(), "")))
        .isEmpty();
  }

  @Test
  void findsWrongStatusUnderRightSignature() {
    assertThat(violations(answer(200, "s.0.2", "failed"))).hasSize(1);
    assertThat(violations(answer(500, "s.0.1", "body of a"))).hasSize(1);
    assertThat(violations(resumable(200, "s.0.2"))).hasSize(1);
  }

  @Test
  void findsOtherBody() {
    assertThat(violations(answer(200, "s.0.1", "body of b"))).hasSize(1);
    assertThat(violations(answer(500, "s.0.2", "body of a"))).hasSize(1);
  }

  @Test
  void findsAnswerOfCutRun() {
    assertThat(violations(answer(200, "s.0.3", "body of a"))).hasSize(1);
    assertThat(violations(answer(200, "s.0.4", "body of a"))).hasSize(1);
    assertThat(violations(resumable(200, "s.0.3"))).isEmpty();
    assertThat(violations(resumable(200, "s.0.4"))).hasSize(1);
  }

  @Test
  void findsAnswerOfAnotherRequest() {
    assertThat(violations(answer(200, "s.0.5", "body of a"))).hasSize(1);
    assertThat(violations(answer(200, "unknown", "body of a"))).hasSize(1);
    List<String> signature = List.of("s.0.1");
    assertThat(
            violations(
                new ReceivedAnswer("a", PATH, false, 200, List.of("b"), signature, "body of a")))
        .hasSize(1);
    assertThat(
            violations(
                new ReceivedAnswer(
                    "a", "/again/y", false, 200, List.of("a"), signature, "body of a")))
        .hasSize(1);
    assertThat(
            violations(new ReceivedAnswer("", PATH, false, 200, List.of(), signature, "body of a")))
        .hasSize(1);
  }

  @Test
  void findsSuccessWithoutOneSignature() {
    assertThat(
            violations(
                new ReceivedAnswer("a", PATH, false, 200, List.of("a"), List.of(), "body of a")))
        .hasSize(1);
    List<String> both = List.of("s.0.1", "s.0.3");
    assertThat(
            violations(new ReceivedAnswer("a", PATH, false, 200, List.of("a"), both, "body of a")))
        .hasSize(1);
  }

  private static List<String> violations(ReceivedAnswer answer) {
    return new AnswerChecks(List.of(SERVED, FAILED, CUT, UNANSWERED, OTHER))
        .findViolations(List.of(answer));
  }

  private static ReceivedAnswer answer(int status, String signature, String body) {
    return new ReceivedAnswer("a", PATH, false, status, List.of("a"), List.of(signature), body);
  }

  private static ReceivedAnswer resumable(int status, String signature) {
    return new ReceivedAnswer("a", PATH, true, status, List.of("a"), List.of(signature), "");
  }

  private static EngineRun run(
      String signature, String requestId, int status, Extent extent, String body) {
    return new EngineRun(signature, requestId, PATH, status, extent, body);
  }
}
