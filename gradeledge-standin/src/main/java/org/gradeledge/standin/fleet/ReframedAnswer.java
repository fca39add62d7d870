package org.gradeledge.standin.fleet;

import java.util.Random;

/**
 * An answer with a framing that is not usual for its kind, and its headers in any order.
 *
 * @param framing the framing
 */
public record ReframedAnswer(AnswerFraming framing) implements AnswerDeviation {

  @Override
  public EngineAnswer alter(EngineAnswer answer, Random random) {
    return answer.withFraming(framing).withHeaderOrder(random.nextLong());
  }
}
