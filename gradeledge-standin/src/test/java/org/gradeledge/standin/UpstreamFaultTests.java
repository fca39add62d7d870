package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.gradeledge.standin.engine.EngineFault;
import org.gradeledge.standin.engine.EngineStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;

class UpstreamFaultTests {

  private Deployment deployment;
  private EngineStandIn encoder;
  private EngineStandIn booking;
  private EngineStandIn generator;

  @BeforeEach
  void start() {
    deployment = new Deployment(1);
    encoder = deployment.engine();
    booking = deployment.engine();
    generator = deployment.engine();
    deployment.apply(
        PipelineFiles.named(PipelineFiles.NAME)
            .stage("encode", "encode", true, encoder)
            .stage("book", "service", false, booking)
            .stage("confirm", "generate", true, generator)
            .maxTokens(10)
            .text(),
        0);
    deployment.apply(
        PipelineFiles.named("book-only").stage("book", "service", false, booking).text(), 0);
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  @Test
  void dropsAnAnswerOfAnotherRequestAndAsksAgain() {
    encoder.faultInjector().setForNext(EngineFault.SWAPPED, 1);
    Reply reply = deployment.call(0).key("k").now();

    assertThat(reply.status()).isEqualTo(200);
    assertThat(deployment.metrics(0)).contains("gradeledge_dropped_answers_total");
  }

  @Test
  void neverGivesAnAnswerSentTwiceToTheNextRequest() {
    encoder.faultInjector().set(EngineFault.DOUBLED);
    booking.faultInjector().set(EngineFault.DOUBLED);
    List<Boolean> own =
        Flux.range(0, 400)
            .flatMap(
                i -> {
                  String text = "заявка-" + i;
                  return deployment
                      .call(0)
                      .pipeline("book-only")
                      .key("doubled-" + i)
                      .text(text)
                      .send()
                      .map(reply -> reply.status() != 200 || reply.text().contains(text + "\""));
                },
                64)
            .collectList()
            .block();

    assertThat(own).hasSize(400).doesNotContain(false);
  }

  @Test
  void goesOnWithABrokenStreamAfterItsLastToken() {
    generator.faultInjector().setForNext(EngineFault.CUT, 1);
    Reply reply =
        deployment
            .call(0)
            .key("k")
            .header("Accept", "text/event-stream")
            .text("a b c d e f g h i j")
            .now();

    assertThat(reply.text()).contains("event: result");
    for (int offset = 0; offset < 10; offset++) {
      assertThat(reply.text().split("id: " + offset + "\n", -1)).hasSize(2);
    }
  }

  @Test
  void aStreamThatEndsWithoutSayingSoIsNeverGivenOutAsWhole() {
    generator.faultInjector().set(EngineFault.ENDS_EARLY);
    Reply whole = deployment.call(0).key("k").text("a b c d e f g h i j k l").now();

    assertThat(whole.status()).isEqualTo(502);
    assertThat(whole.reason()).isEqualTo("answer-incomplete");
    assertThat(whole.verdict()).isEqualTo("may-have-run");
  }

  @Test
  void neverPassesAGapOfAStreamOn() {
    generator.faultInjector().set(EngineFault.GAP);
    Reply reply = deployment.call(0).key("k").header("Accept", "text/event-stream").now();

    assertThat(reply.text())
        .contains("event: error", "answer-incomplete", "may-have-run")
        .doesNotContain("event: result");
    List<String> offsets = reply.text().lines().filter(line -> line.startsWith("id: ")).toList();
    assertThat(offsets)
        .isNotEmpty()
        .isEqualTo(IntStream.range(0, offsets.size()).mapToObj(offset -> "id: " + offset).toList());
  }

  @Test
  void saysNotRunWhereTheUpstreamSaysSo() {
    booking.faultInjector().set(EngineFault.REFUSES);
    Reply reply = deployment.call(0).pipeline("book-only").key("k").now();

    assertThat(reply.status()).isEqualTo(502);
    assertThat(reply.verdict()).isEqualTo("not-run");
    assertThat(deployment.runs.runCountOfKey("k")).isZero();
  }

  @Test
  void aKeyWhoseRequestDidNotRunCanBeUsedAgain() {
    booking.faultInjector().set(EngineFault.REFUSES);
    deployment.call(0).pipeline("book-only").key("k").now();
    booking.faultInjector().set(EngineFault.NONE);

    assertThat(deployment.call(0).pipeline("book-only").key("k").now().status()).isEqualTo(200);
    assertThat(deployment.runs.runCountOfKey("k")).isEqualTo(1);
  }

  @Test
  void saysNotRunWhereNoUpstreamCouldBeReached() {
    booking.close();
    Reply reply = deployment.call(0).pipeline("book-only").key("k").now();

    assertThat(reply.status()).isEqualTo(502);
    assertThat(reply.verdict()).isEqualTo("not-run");
  }

  @Test
  void neverRepeatsACallThatMustNotBeRepeated() {
    booking.faultInjector().set(EngineFault.ANSWER_LOST);
    Reply reply = deployment.call(0).key("k").now();

    assertThat(reply.verdict()).isEqualTo("may-have-run");
    assertThat(deployment.runs.runCountOfKey("k")).isEqualTo(1);

    booking.faultInjector().set(EngineFault.NONE);
    Reply again = deployment.call(0).key("k").now();
    assertThat(again.verdict()).isEqualTo("may-have-run");
    assertThat(deployment.runs.runCountOfKey("k")).isEqualTo(1);
  }

  @Test
  void givesAnUpstreamThatLeavesNoNewWork() {
    EngineStandIn second = deployment.engine();
    deployment.apply(
        PipelineFiles.named("two").stage("book", "service", false, booking, second).text(), 0);
    booking.leave();
    Deployment.await(
        () -> {
          long before = booking.callsAfterLeave();
          for (int i = 0; i < 10; i++) {
            deployment.call(0).pipeline("two").key("leave-" + i + "-" + before).now();
          }
          return booking.callsAfterLeave() == before;
        });

    booking.restart();
    Deployment.await(
        () -> {
          long before = deployment.runs.runCount();
          deployment.call(0).pipeline("book-only").key("back-" + before).now();
          return deployment.runs.runCount() > before;
        });
  }
}
