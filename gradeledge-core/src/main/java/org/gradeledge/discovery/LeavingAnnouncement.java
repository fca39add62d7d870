package org.gradeledge.discovery;

/**
 * What one answer of an upstream says of whether it leaves.
 *
 * @param kind what was said
 * @param text what stood there; empty but for {@link Kind#UNREADABLE}
 * @since 0.5
 */
public record LeavingAnnouncement(Kind kind, String text) {

  /** What may be said. */
  public enum Kind {
    /** It leaves and takes no new work. */
    LEAVES,
    /** It says nothing of leaving. */
    NOTHING,
    /** There is something that is neither yes nor no. */
    UNREADABLE
  }

  /** The upstream leaves. */
  public static final LeavingAnnouncement LEAVES = new LeavingAnnouncement(Kind.LEAVES, "");

  /** The answer says nothing of leaving. */
  public static final LeavingAnnouncement NOTHING = new LeavingAnnouncement(Kind.NOTHING, "");

  /** Returns that what stood there cannot be read. */
  public static LeavingAnnouncement unreadable(String text) {
    return new LeavingAnnouncement(Kind.UNREADABLE, text);
  }
}
