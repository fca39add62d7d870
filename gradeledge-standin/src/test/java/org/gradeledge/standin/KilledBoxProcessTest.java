package org.gradeledge.standin;

import org.gradeledge.standin.platform.PlatformFault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KilledBoxProcessTest extends AbstractChangeProcess {

  @ParameterizedTest
  @CsvSource({
    "0,0,ANSWER_LATE",
    "0,1,FROZEN",
    "0,1,ANSWER_LATE",
    "2,0,ANSWER_LATE",
    "2,1,FROZEN",
    "2,1,ANSWER_LATE"
  })
  void aChangeHoldsWhereABoxIsKilledAtAWrite(int victim, int write, PlatformFault fault) {
    changeHoldsWhere(victim, write, fault, (deployment, box, told) -> deployment.box(box).kill());
  }
}
