package org.gradeledge.standin.fleet;

import java.util.Random;

/**
 * A failure in place of a success.
 *
 * @param oneIn one request in this many fails
 */
public record FailedAnswer(int oneIn) implements AnswerDeviation {

  @Override
  public EngineAnswer alter(EngineAnswer answer, Random random) {
    return random.nextInt(oneIn) == 0 ? answer.withStatus(EngineAnswer.FAILED) : answer;
  }
}
