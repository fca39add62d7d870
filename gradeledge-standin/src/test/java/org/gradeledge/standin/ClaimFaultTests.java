package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gradeledge.standin.engine.EngineStandIn;
import org.gradeledge.standin.engine.EngineTiming;
import org.gradeledge.standin.platform.PlatformFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Flux;

class ClaimFaultTests {

  private Deployment deployment;

  @BeforeEach
  void start() {
    deployment = new Deployment(2);
    EngineStandIn booking = deployment.engine(new EngineTiming(16, 30, 1, 1));
    deployment.apply(
        PipelineFiles.named(PipelineFiles.NAME).stage("book", "service", false, booking).text(), 0);
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  @Test
  void asksForAnIdempotencyKey() {
    Reply reply = deployment.call(0).now();
    assertThat(reply.status()).isEqualTo(400);
    assertThat(reply.reason()).isEqualTo("idempotency-key-missing");
  }

  @Test
  void runsOnceWhereOneKeyReachesTwoBoxesAtOnce() {
    for (int round = 0; round < 20; round++) {
      String key = "both-" + round;
      List<Reply> replies =
          Flux.range(0, 8)
              .flatMap(i -> deployment.call(i % 2).key(key).send(), 8)
              .collectList()
              .block();

      assertThat(deployment.runs.runCountOfKey(key)).isEqualTo(1);
      assertThat(replies).filteredOn(reply -> reply.status() == 200).isNotEmpty();
      assertThat(replies)
          .filteredOn(reply -> reply.status() != 200)
          .allSatisfy(reply -> assertThat(reply.verdict()).isEqualTo("may-have-run"));
    }
  }

  @Test
  void givesTheRecordedAnswerToWhoeverAsksAgainAtAnotherBox() {
    Reply first = deployment.call(0).key("k").text("до Хасково").now();
    deployment.box(0).close();
    Reply again = deployment.call(1).key("k").text("до Хасково").now();

    assertThat(again.status()).isEqualTo(200);
    assertThat(again.json().path("results")).isEqualTo(first.json().path("results"));
    assertThat(deployment.runs.runCountOfKey("k")).isEqualTo(1);
  }

  @Test
  void refusesAKeyUsedWithAnotherBody() {
    deployment.call(0).key("k").text("една").now();
    Reply other = deployment.call(1).key("k").text("друга").now();

    assertThat(other.status()).isEqualTo(422);
    assertThat(other.verdict()).isEqualTo("not-run");
  }

  @Test
  void refusesNotRunWhileTheTableIsDown() {
    deployment.platform.setTableFault(PlatformFault.DOWN);
    Reply reply = deployment.call(0).key("k").now();

    assertThat(reply.reason()).isEqualTo("table-unavailable");
    assertThat(reply.verdict()).isEqualTo("not-run");
    assertThat(deployment.runs.runCountOfKey("k")).isZero();
  }

  @ParameterizedTest
  @EnumSource(
      value = PlatformFault.class,
      names = {"ANSWER_LOST", "ANSWER_LATE", "EFFECT_LATE", "DOWN", "FROZEN", "SLOW"})
  void runsAtMostOnceWhateverBecomesOfTheClaimsWrite(PlatformFault fault) {
    deployment.platform.faultInjector("commit").setForNext(fault, 1);
    Reply first = deployment.call(0).key("k").now();
    Reply again = deployment.call(1).key("k").now();

    long runs = deployment.runs.runCountOfKey("k");
    assertThat(runs).isLessThanOrEqualTo(1);
    if (first.status() != 200 && first.verdict().equals("not-run") && again.status() != 200) {
      assertThat(runs).isZero();
    }
    if (first.status() == 200) {
      assertThat(again.status()).isEqualTo(200);
      assertThat(runs).isEqualTo(1);
    }
  }
}
