package org.gradeledge.standin.fleet;

/** What can be wrong with an engine. */
public enum EngineFault {
  /** Nothing. */
  NONE,
  /** It is full and runs nothing. */
  FULL,
  /** It runs the request and resets the connection instead of answering. */
  ANSWER_LOST,
  /** It sends the answer of another request first. */
  OTHERS_ANSWER_FIRST,
  /** It sends another whole answer after the one that is due. */
  EXTRA_ANSWER,
  /** It breaks off in the middle of its answer. */
  CUT,
  /** It breaks off in the middle of an answer without length, by a reset. */
  CUT_WITHOUT_LENGTH,
  /** It answers 500. */
  ERROR,
  /** It takes about a second for a stream. */
  SLOW,
  /** It takes the request and never answers. */
  HANG,
  /** Another engine has its address. */
  OTHER_ENGINE
}
