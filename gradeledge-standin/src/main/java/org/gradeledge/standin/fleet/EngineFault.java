package org.gradeledge.standin.fleet;

/** Faults that a fleet engine can inject into requests. */
public enum EngineFault {
  /** No fault. */
  NONE,
  /** Rejects all requests because it has no capacity. */
  FULL,
  /** Runs the request and resets the connection instead of responding. */
  ANSWER_LOST,
  /** Sends a response with another request id before the correct one. */
  OTHERS_ANSWER_FIRST,
  /** Sends an additional response after the correct one. */
  EXTRA_ANSWER,
  /** Closes the connection in the middle of the response. */
  CUT,
  /** Resets the connection in the middle of a response without a content length. */
  CUT_WITHOUT_LENGTH,
  /** Responds with status 500. */
  ERROR,
  /** Delays the events of a stream. */
  SLOW,
  /** Accepts the request and never responds. */
  HANG,
  /** Responds as another engine that was assigned the same address. */
  OTHER_ENGINE
}
