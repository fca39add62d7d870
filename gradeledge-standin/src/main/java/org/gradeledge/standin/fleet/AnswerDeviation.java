package org.gradeledge.standin.fleet;

import java.util.Random;

/** A way in which the answers of an engine deviate from one whole success to each request. */
public interface AnswerDeviation {

  /** Returns the answer that the engine gives in place of another. */
  default EngineAnswer alter(EngineAnswer answer, Random random) {
    return answer;
  }

  /** Returns whether the answer is sent before the body of its request is read. */
  default boolean isBeforeBody() {
    return false;
  }

  /** Changes how an answer is sent, or what is sent beside it. */
  default void change(AnswerPlan plan, Random random) {}
}
