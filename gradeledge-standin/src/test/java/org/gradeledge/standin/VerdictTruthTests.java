package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.gradeledge.standin.engine.EngineFault;
import org.gradeledge.standin.engine.EngineStandIn;
import org.gradeledge.standin.engine.EngineTiming;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Flux;

/** What upstreams recorded never contradicts what callers were told. */
class VerdictTruthTests {

  private static final int REQUESTS = 150;
  private static final EngineFault[] FAULTS = {
    EngineFault.NONE,
    EngineFault.REFUSES,
    EngineFault.DOWN,
    EngineFault.ANSWER_LOST,
    EngineFault.SWAPPED,
    EngineFault.DOUBLED,
    EngineFault.FROZEN,
    EngineFault.CUT,
    EngineFault.GAP
  };

  private final Deployment deployment = new Deployment(2);

  @AfterEach
  void stop() {
    deployment.close();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void noVerdictContradictsWhatRanUnderRandomFaults(long seed) {
    Random random = new Random(seed);
    EngineStandIn[] engines = {
      deployment.engine(), deployment.engine(), deployment.engine(), deployment.engine()
    };
    deployment.apply(
        PipelineFiles.named(PipelineFiles.NAME)
            .stage("encode", "encode", true, engines[0])
            .stage("book", "service", false, engines[1], engines[2])
            .stage("confirm", "generate", true, engines[3])
            .maxTokens(8)
            .text(),
        0);
    for (int i = 0; i < REQUESTS; i++) {
      for (EngineStandIn engine : engines) {
        engine.faultInjector().setForNext(FAULTS[random.nextInt(FAULTS.length)], 1);
      }
      String key = "key-" + i;
      Reply reply = deployment.call(i % 2).key(key).deadline(500).text("заявка №" + i).now();
      List<String> ran = deployment.runs.stagesRunFor(reply.headers().get("Gradeledge-Request-Id"));

      assertThat(deployment.runs.runCountOfKey(key)).isLessThanOrEqualTo(1);
      if (reply.status() == 200) {
        assertThat(ran).contains("encode", "book", "confirm");
        assertThat(reply.text()).contains("заявка №" + i + "\"");
      } else if (reply.verdict().equals("not-run")) {
        assertThat(ran).isEmpty();
      }
    }
  }

  @Test
  void givesNoWrongAnswerAmongTwentyThousandUnderUpstreamsThatSwapDelayAndDouble() {
    EngineStandIn[] engines = new EngineStandIn[4];
    EngineFault[] faults = {
      EngineFault.SWAPPED, EngineFault.DOUBLED, EngineFault.SLOW, EngineFault.NONE
    };
    for (int i = 0; i < engines.length; i++) {
      engines[i] = deployment.engine(new EngineTiming(64, 1, 100, 1));
      engines[i].faultInjector().set(faults[i]);
    }
    deployment.apply(
        PipelineFiles.named(PipelineFiles.NAME)
            .stage("find", "retrieve", true, engines)
            .stage("rank", "rerank", true, engines)
            .text(),
        0);
    long wrong =
        Flux.range(0, 20_000)
            .flatMap(
                i -> {
                  String text = "място №" + i;
                  return deployment.call(i % 2).text(text).sendKept().map(r -> isWrong(r, text));
                },
                64)
            .filter(Boolean::booleanValue)
            .count()
            .block();

    assertThat(wrong).isZero();
  }

  private static boolean isWrong(Reply reply, String text) {
    return reply.status() == 200 && !reply.text().contains("\"" + text + "\"");
  }
}
