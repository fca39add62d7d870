package org.gradeledge.standin.fleet;

import java.util.Random;

/**
 * Deviation of an answer that stops after the number of bytes that its request names.
 *
 * @param end what becomes of the connection then
 */
record CutAsRequested(ConnectionEnd end) implements AnswerDeviation {

  /** Header of the number of bytes. */
  static final String LENGTH_HEADER = "Cut-After";

  @Override
  public void change(AnswerPlan plan, Random random) {
    plan.cutAfter(Integer.parseInt(plan.answer().request().header(LENGTH_HEADER)), end);
  }
}
