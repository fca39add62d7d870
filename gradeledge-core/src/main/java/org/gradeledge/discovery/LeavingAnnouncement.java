package org.gradeledge.discovery;

/**
 * What a response of an upstream states about whether the upstream is leaving.
 *
 * @param kind meaning of the response
 * @param text the unreadable text; empty unless the kind is {@link Kind#UNREADABLE}
 * @since 0.5
 */
public record LeavingAnnouncement(Kind kind, String text) {

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
  public static final LeavingAnnouncement LEAVES = new LeavingAnnouncement(Kind.LEAVES, "");

  /** A response that does not say that the upstream is leaving. */
  public static final LeavingAnnouncement NOTHING = new LeavingAnnouncement(Kind.NOTHING, "");

  /** Returns an announcement with an invalid value. */
  public static LeavingAnnouncement unreadable(String text) {
    return new LeavingAnnouncement(Kind.UNREADABLE, text);
  }
}
