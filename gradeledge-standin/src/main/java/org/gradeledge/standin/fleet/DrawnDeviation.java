package org.gradeledge.standin.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Kinds of deviations, from which a seed draws. */
public enum DrawnDeviation {
  /** Failures. */
  FAILURE {
    @Override
    AnswerDeviation draw(Random random) {
      return new FailedAnswer(1 + random.nextInt(2));
    }
  },
  /** A second answer in the same write. */
  SURPLUS_AT_ONCE {
    @Override
    AnswerDeviation draw(Random random) {
      return SurplusAnswer.draw(SurplusTiming.AT_ONCE, random);
    }
  },
  /** A second answer after a delay. */
  SURPLUS_LATE {
    @Override
    AnswerDeviation draw(Random random) {
      return SurplusAnswer.draw(SurplusTiming.LATE, random);
    }
  },
  /** A second answer in the place of the next one. */
  SURPLUS_BEFORE_NEXT {
    @Override
    AnswerDeviation draw(Random random) {
      return SurplusAnswer.draw(SurplusTiming.BEFORE_NEXT_ANSWER, random);
    }
  },
  /** An answer that stops or pauses. */
  INTERRUPTION {
    @Override
    AnswerDeviation draw(Random random) {
      return drawFrom(AnswerInterruption.values(), random);
    }
  },
  /** Bytes that are no answer. */
  EXTRA_BYTES {
    @Override
    AnswerDeviation draw(Random random) {
      return drawFrom(ExtraBytes.values(), random);
    }
  },
  /** Another framing. */
  FRAMING {
    @Override
    AnswerDeviation draw(Random random) {
      return new ReframedAnswer(drawFrom(AnswerFraming.values(), random));
    }
  },
  /** An answer before the body of the request is read. */
  EARLY {
    @Override
    AnswerDeviation draw(Random random) {
      return new EarlyAnswer();
    }
  };

  /** Draws a deviation of this kind. */
  abstract AnswerDeviation draw(Random random);

  /** Draws one deviation, or two of different kinds. */
  public static List<AnswerDeviation> drawOneOrTwo(Random random) {
    List<DrawnDeviation> kinds = new ArrayList<>(List.of(values()));
    Collections.shuffle(kinds, random);
    return kinds.subList(0, 1 + random.nextInt(2)).stream().map(kind -> kind.draw(random)).toList();
  }

  private static <T> T drawFrom(T[] values, Random random) {
    return values[random.nextInt(values.length)];
  }
}
