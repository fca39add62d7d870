package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.gradeledge.standin.engine.EngineTiming;
import org.gradeledge.standin.platform.PlatformFault;

/** A change during which one box is struck at a step, and what must hold afterwards. */
abstract class AbstractChangeProcess {

  static final int BOXES = 3;

  /** Strikes a box once the faulty write is under way; returns once it has recovered or is gone. */
  interface Strike {
    void on(ProcessDeployment deployment, int victim, CompletableFuture<Reply> told);
  }

  void changeHoldsWhere(int victim, int write, PlatformFault fault, Strike strike) {
    try (ProcessDeployment deployment = new ProcessDeployment(BOXES)) {
      byte[] file = file(deployment);
      assertThat(deployment.submit(0, file, 0, UUID.randomUUID()).block().status()).isEqualTo(200);
      try (VersionWatch watch = new VersionWatch(deployment, BOXES)) {
        UUID id = UUID.randomUUID();
        long before = deployment.platform.table().callCounts()[0];
        deployment.platform.faultInjector("commit").setAfter(write, fault, 1);
        CompletableFuture<Reply> told = deployment.submit(0, file, 1, id).toFuture();
        Deployment.await(
            () -> deployment.platform.faultInjector("commit").hasTriggered() || told.isDone());
        strike.on(deployment, victim, told);
        deployment.platform.faultInjector("commit").set(PlatformFault.NONE);
        Reply reply = told.join();
        if (reply.status() == 200) {
          watch.told(2);
        }
        int witness = victim == 1 ? 2 : 1;
        String state = awaitSettled(deployment, witness, id);
        checkTold(reply, state);
        String version = state.equals("accepted") ? "2" : "1";
        for (int box = 0; box < BOXES; box++) {
          int each = box;
          if (deployment.box(box).isAlive()) {
            Deployment.await(() -> version.equals(versionAt(deployment, each)));
          }
        }
        assertThat(deployment.platform.table().callCounts()[0]).isGreaterThan(before);
        watch.check();
      }
    }
  }

  static byte[] file(ProcessDeployment deployment) {
    return PipelineFiles.named(PipelineFiles.NAME)
        .stage("encode", "encode", true, deployment.engine(EngineTiming.fast()))
        .text();
  }

  private static void checkTold(Reply reply, String state) {
    if (reply.status() == 200) {
      assertThat(state).isEqualTo("accepted");
    } else if (reply.status() > 0 && reply.status() != 202) {
      assertThat(state).isIn("refused", "absent");
    }
  }

  private static String awaitSettled(ProcessDeployment deployment, int witness, UUID id) {
    Deployment.await(() -> !state(deployment, witness, id).equals("staged"));
    return state(deployment, witness, id);
  }

  private static String state(ProcessDeployment deployment, int witness, UUID id) {
    Reply reply = deployment.operators(witness).get("/v1/submissions/" + id);
    return reply.status() == 404 ? "absent" : reply.json().path("state").asText();
  }

  private static String versionAt(ProcessDeployment deployment, int box) {
    return deployment
        .call(box)
        .send()
        .map(reply -> String.valueOf(reply.headers().get("Gradeledge-Configuration-Version")))
        .onErrorReturn("none")
        .block();
  }
}
