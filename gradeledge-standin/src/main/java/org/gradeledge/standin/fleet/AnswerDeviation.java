package org.gradeledge.standin.fleet;

import java.util.Random;

/** A way in which the answers of an engine deviate from one whole success to each request. */
public interface AnswerDeviation {

  /** Returns the answer that the engine gives in place of another. */
  default EngineAnswer alter(EngineAnswer answer, Random random) {
    return answer;
  }

  /** Changes how an answer is sent, or what is sent beside it. */
  default void change(AnswerPlan plan, Random random) {}
}
