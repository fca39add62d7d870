package org.gradeledge.standin.fleet;

/** An answer that is sent before the body of its request is read. */
public record EarlyAnswer() implements AnswerDeviation {

  @Override
  public boolean isBeforeBody() {
    return true;
  }
}
