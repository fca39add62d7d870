package org.gradeledge.standin.fleet;

import java.util.Random;
import java.util.stream.Collectors;

/** Deviations that put bytes which are no answer beside an answer. */
public enum ExtraBytes implements AnswerDeviation {
  /** Bytes before the answer. */
  BEFORE {
    @Override
    public void change(AnswerPlan plan, Random random) {
      plan.prepend(draw(random));
    }
  },
  /** Bytes after the answer, in the same write. */
  AFTER {
    @Override
    public void change(AnswerPlan plan, Random random) {
      plan.append(draw(random));
    }
  };

  private static final int MAX_LENGTH = 40;
  private static final String ALPHABET = "\r\n :/.HTP120ax{";

  private static String draw(Random random) {
    return random
        .ints(1L + random.nextInt(MAX_LENGTH), 0, ALPHABET.length())
        .mapToObj(index -> ALPHABET.substring(index, index + 1))
        .collect(Collectors.joining());
  }
}
