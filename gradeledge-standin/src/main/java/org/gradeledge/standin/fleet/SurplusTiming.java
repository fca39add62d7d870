package org.gradeledge.standin.fleet;

import java.util.Random;

/** Times at which an engine sends a second answer to a request. */
public enum SurplusTiming {
  /** In the same write as the first answer. */
  AT_ONCE {
    @Override
    void schedule(AnswerPlan plan, String text, Random random) {
      plan.append(text);
    }
  },
  /** Between 1 and 400 ms later, when no answer is being sent. */
  LATE {
    @Override
    void schedule(AnswerPlan plan, String text, Random random) {
      plan.appendLater(text, 1 + random.nextInt(MAX_DELAY_MILLIS));
    }
  },
  /** In the place before the next answer on the connection. */
  BEFORE_NEXT_ANSWER {
    @Override
    void schedule(AnswerPlan plan, String text, Random random) {
      plan.prependToNext(text);
    }
  };

  private static final int MAX_DELAY_MILLIS = 400;

  abstract void schedule(AnswerPlan plan, String text, Random random);
}
