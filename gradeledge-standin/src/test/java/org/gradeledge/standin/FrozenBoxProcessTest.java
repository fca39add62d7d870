package org.gradeledge.standin;

import org.gradeledge.standin.platform.PlatformFault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FrozenBoxProcessTest extends AbstractChangeProcess {

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
        (deployment, box) -> {
          deployment.box(box).freeze();
          int witness = box == 1 ? 2 : 1;
          Deployment.await(() -> !isMember(deployment, witness, box));
          deployment.box(box).wake();
        });
  }

  private static boolean isMember(ProcessDeployment deployment, int witness, int box) {
    String boxes = deployment.operators(witness).get("/v1/boxes").text();
    return boxes.contains("\"box-" + (box + 1) + "\"");
  }
}
