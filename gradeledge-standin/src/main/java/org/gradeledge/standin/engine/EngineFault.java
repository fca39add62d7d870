package org.gradeledge.standin.engine;

import java.util.Locale;

/** What may be wrong with an engine's calls. */
public enum EngineFault {
  /** Nothing. */
  NONE,
  /** Says truly that the call did not run. */
  REFUSES,
  /** Cuts the connection without running the call. */
  DOWN,
  /** Takes the call and never answers. */
  FROZEN,
  /** Runs the call and cuts the connection instead of answering. */
  ANSWER_LOST,
  /** Runs the call and answers as if it were another. */
  SWAPPED,
  /** Runs the call and answers it twice. */
  DOUBLED,
  /** Cuts a stream after a few tokens. */
  CUT,
  /** Ends a stream properly after a few tokens, without saying that it is finished. */
  ENDS_EARLY,
  /** Leaves out one token of a stream. */
  GAP,
  /** Takes five times as long. */
  SLOW;

  /** Returns the fault with the given name on the admin port. */
  public static EngineFault ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
