package org.gradeledge.standin.fleet;

import java.util.Random;

/** Deviations of an answer that stops or pauses. */
public enum AnswerInterruption implements AnswerDeviation {
  /** The head stops and the connection is closed in order. */
  HEAD_THEN_CLOSE {
    @Override
    public void change(AnswerPlan plan, Random random) {
      plan.cut(AnswerCut.HEAD, ConnectionEnd.CLOSE, random);
    }
  },
  /** The head stops and the connection is reset. */
  HEAD_THEN_RESET {
    @Override
    public void change(AnswerPlan plan, Random random) {
      plan.cut(AnswerCut.HEAD, ConnectionEnd.RESET, random);
    }
  },
  /** The answer is sent whole, in pieces with pauses. */
  PIECES {
    @Override
    public void change(AnswerPlan plan, Random random) {
      plan.sendInPieces(MIN_PIECES + random.nextInt(MAX_PIECES - MIN_PIECES + 1));
    }
  },
  /** The body stops and the connection is closed in order, or reset if it has no length. */
  BODY_THEN_CLOSE {
    @Override
    public void change(AnswerPlan plan, Random random) {
      boolean endsWithConnection = plan.answer().framing() == AnswerFraming.CONNECTION;
      ConnectionEnd end = endsWithConnection ? ConnectionEnd.RESET : ConnectionEnd.CLOSE;
      plan.cut(AnswerCut.BODY, end, random);
    }
  },
  /** The body stops and the connection is reset. */
  BODY_THEN_RESET {
    @Override
    public void change(AnswerPlan plan, Random random) {
      plan.cut(AnswerCut.BODY, ConnectionEnd.RESET, random);
    }
  },
  /** The body stops and the connection stays open. */
  BODY_THEN_SILENCE {
    @Override
    public void change(AnswerPlan plan, Random random) {
      plan.cut(AnswerCut.BODY, ConnectionEnd.HANG, random);
    }
  };

  private static final int MIN_PIECES = 2;
  private static final int MAX_PIECES = 16;
}
