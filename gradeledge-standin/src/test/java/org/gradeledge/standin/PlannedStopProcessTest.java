package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.gradeledge.standin.engine.EngineTiming;
import org.junit.jupiter.api.Test;

class PlannedStopProcessTest {

  private static final int STREAMS = 8;
  private static final int TOKENS = 400;

  /** Streams of some seconds are under way at every box when it is told to stop. */
  @Test
  void cutsNoRequestWhereAllBoxesAreReplacedInTurn() {
    try (ProcessDeployment deployment = new ProcessDeployment(3)) {
      byte[] file =
          PipelineFiles.named(PipelineFiles.NAME)
              .stage(
                  "explain", "generate", true, deployment.engine(new EngineTiming(64, 1, 5_000, 1)))
              .maxTokens(TOKENS)
              .text();
      deployment.submit(0, file, 0, UUID.randomUUID()).block();
      for (int box = 0; box < 3; box++) {
        int stopping = box;
        long running = deployment.runs.runCount();
        List<CompletableFuture<Reply>> streams =
            IntStream.range(0, STREAMS).mapToObj(i -> stream(deployment, stopping, i)).toList();
        Deployment.await(() -> deployment.runs.runCount() == running + STREAMS);
        deployment.box(stopping).terminate();
        assertThat(streams).allSatisfy(stream -> assertWhole(stream.join()));
        assertThat(deployment.box(stopping).exitCode()).isZero();

        int replacement = 3 + box;
        deployment.startBox("box-" + (replacement + 1));
        Deployment.await(() -> deployment.isReady(replacement));
      }
      assertThat(deployment.submit(3, file, 1, UUID.randomUUID()).block().status()).isEqualTo(200);
    }
  }

  @Test
  void aBoxThatIsKilledLeavesItsCallersATrueAnswerElsewhere() {
    try (ProcessDeployment deployment = new ProcessDeployment(2)) {
      byte[] file =
          PipelineFiles.named(PipelineFiles.NAME)
              .stage("book", "service", false, deployment.engine(new EngineTiming(64, 300, 1, 1)))
              .text();
      deployment.submit(0, file, 0, UUID.randomUUID()).block();
      deployment.call(0).key("done").now();
      CompletableFuture<Reply> cut = deployment.call(0).key("cut").send().toFuture();
      Deployment.await(() -> deployment.platform.table().read(List.of("claim/")).size() == 2);
      deployment.box(0).kill();

      assertThat(deployment.call(1).key("done").now().status()).isEqualTo(200);
      Reply again = deployment.call(1).key("cut").now();
      assertThat(again.verdict()).isEqualTo("may-have-run");
      assertThat(deployment.runs.runCountOfKey("cut")).isLessThanOrEqualTo(1);
      assertThatThrownBy(cut::join).hasCauseInstanceOf(IOException.class);
    }
  }

  private static CompletableFuture<Reply> stream(
      ProcessDeployment deployment, int box, int number) {
    return deployment
        .call(box)
        .header("Accept", "text/event-stream")
        .text("маршрут " + number)
        .send()
        .toFuture();
  }

  private static void assertWhole(Reply reply) {
    assertThat(reply.text()).contains("event: result");
    assertThat(reply.text().split("event: token", -1)).hasSize(TOKENS + 1);
  }
}
