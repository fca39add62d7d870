package org.gradeledge.discovery;

/**
 * The part of a response in which an upstream announces that it is leaving.
 *
 * @param kind what the response says
 * @param text the unreadable text; empty unless the kind is {@link Kind#UNREADABLE}
 * @since 0.5
 */
public record LeavingSignal(Kind kind, String text) {

  /** The possible meanings. */
  public enum Kind {
    /** The upstream is leaving and accepts no new requests. */
    LEAVES,
    /** The response does not say that the upstream is leaving. */
    NOTHING,
    /** The value is invalid. */
    UNREADABLE
  }

  /** A response of an upstream that is leaving. */
  public static final LeavingSignal LEAVES = new LeavingSignal(Kind.LEAVES, "");

  /** A response that does not say that the upstream is leaving. */
  public static final LeavingSignal NOTHING = new LeavingSignal(Kind.NOTHING, "");

  /** Returns a signal with an invalid value. */
  public static LeavingSignal unreadable(String text) {
    return new LeavingSignal(Kind.UNREADABLE, text);
  }
}
