package org.gradeledge.standin.engine;

import java.util.Locale;

/** Faults that an engine stand-in can inject into calls. */
public enum EngineFault {
  /** No fault. */
  NONE,
  /** Rejects the call and reports that it did not run. */
  REFUSES,
  /** Closes the connection without running the call. */
  DOWN,
  /** Accepts the call and never responds. */
  FROZEN,
  /** Runs the call and closes the connection instead of responding. */
  ANSWER_LOST,
  /** Runs the call and responds with the id of another request. */
  SWAPPED,
  /** Runs the call and sends the response twice. */
  DOUBLED,
  /** Closes the connection of a stream after a few tokens. */
  CUT,
  /** Ends a stream after a few tokens without a finish reason. */
  ENDS_EARLY,
  /** Omits one token of a stream. */
  GAP,
  /** Increases the processing time by a constant factor. */
  SLOW;

  /** Returns the fault for its name in the admin API. */
  public static EngineFault ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
