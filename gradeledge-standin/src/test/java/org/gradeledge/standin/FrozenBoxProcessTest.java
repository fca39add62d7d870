package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.gradeledge.standin.platform.PlatformFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FrozenBoxProcessTest extends AbstractChangeProcess {

  private static final int CALLS = 20;

  @ParameterizedTest
  @CsvSource({
    "0,0,ANSWER_LATE",
    "0,1,FROZEN",
    "0,1,ANSWER_LATE",
    "2,0,ANSWER_LATE",
    "2,1,FROZEN",
    "2,1,ANSWER_LATE"
  })
  void aChangeHoldsWhereABoxIsFrozenAtAWriteAndWakes(int victim, int write, PlatformFault fault) {
    changeHoldsWhere(
        victim,
        write,
        fault,
        (deployment, box, told) -> {
          deployment.box(box).freeze();
          int witness = box == 1 ? 2 : 1;
          Deployment.await(() -> !isMember(deployment, witness, box));
          deployment.box(box).wake();
        });
  }

  /** Frozen for less than the membership bound, so that only the doubt bound keeps it. */
  @Test
  void aMemberThatWakesOnceTheOperatorWasToldDoesNotServeTheOldVersion() {
    changeHoldsWhere(
        2,
        1,
        PlatformFault.SLOW,
        (deployment, box, told) -> {
          deployment.box(box).freeze();
          assertThat(told.join().status()).isEqualTo(200);
          wakeUnderCalls(deployment, box);
        });
  }

  @Test
  void aMemberThatWasRemovedWhileFrozenDoesNotServeTheOldVersionWhenItWakes() {
    try (ProcessDeployment deployment = new ProcessDeployment(BOXES)) {
      byte[] file = file(deployment);
      deployment.submit(0, file, 0, UUID.randomUUID()).block();
      deployment.box(2).freeze();
      Deployment.await(() -> !isMember(deployment, 1, 2));
      assertThat(deployment.submit(0, file, 1, UUID.randomUUID()).block().status()).isEqualTo(200);
      wakeUnderCalls(deployment, 2);
      Deployment.await(() -> deployment.isReady(2) && isMember(deployment, 1, 2));
    }
  }

  /** Calls are already waiting at the box when it wakes, so that it may answer before it learns. */
  private static void wakeUnderCalls(ProcessDeployment deployment, int box) {
    List<CompletableFuture<Reply>> calls =
        Stream.generate(() -> deployment.call(box).send().toFuture()).limit(CALLS).toList();
    deployment.box(box).wake();
    assertThat(calls)
        .allSatisfy(
            call ->
                assertThat(call.join().headers().get("Gradeledge-Configuration-Version"))
                    .isNotEqualTo("1"));
  }

  private static boolean isMember(ProcessDeployment deployment, int witness, int box) {
    String boxes = deployment.operators(witness).get("/v1/boxes").text();
    return boxes.contains("\"box-" + (box + 1) + "\"");
  }
}
