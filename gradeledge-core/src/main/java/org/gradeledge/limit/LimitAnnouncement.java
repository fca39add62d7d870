package org.gradeledge.limit;

/**
 * What one answer of an upstream says of the requests that it takes.
 *
 * @param kind what was said
 * @param requestsPerSecond requests a second from all boxes together; 0 but for {@link Kind#NAMED}
 * @param text what stood there; empty but for {@link Kind#UNREADABLE}
 * @since 0.4
 */
public record LimitAnnouncement(Kind kind, double requestsPerSecond, String text) {

  /** What may be said. */
  public enum Kind {
    /** It takes so many requests a second. */
    NAMED,
    /** It did some work, and names no limit. */
    NO_LIMIT,
    /** The answer is none that tells: it is not of that upstream, or no work was done for it. */
    NOTHING,
    /** There is something that is no rate; what was known goes on. */
    UNREADABLE
  }

  /** The upstream names no limit. */
  public static final LimitAnnouncement NO_LIMIT = new LimitAnnouncement(Kind.NO_LIMIT, 0, "");

  /** The answer does not tell. */
  public static final LimitAnnouncement NOTHING = new LimitAnnouncement(Kind.NOTHING, 0, "");

  /** Returns that an upstream takes so many requests a second, zero or more. */
  public static LimitAnnouncement named(double perSecond) {
    return new LimitAnnouncement(Kind.NAMED, perSecond, "");
  }

  /** Returns that what stood there is no rate. */
  public static LimitAnnouncement unreadable(String text) {
    return new LimitAnnouncement(Kind.UNREADABLE, 0, text);
  }
}
