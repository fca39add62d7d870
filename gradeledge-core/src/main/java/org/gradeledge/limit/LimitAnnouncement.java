package org.gradeledge.limit;

/**
 * The rate limit in one answer of an upstream, if any.
 *
 * @param kind whether the answer has a limit
 * @param requestsPerSecond requests accepted from all boxes together; 0 except for {@link
 *     Kind#NAMED}
 * @param text unreadable value; empty except for {@link Kind#UNREADABLE}
 * @since 0.4
 */
public record LimitAnnouncement(Kind kind, double requestsPerSecond, String text) {

  /** Kinds of announcements. */
  public enum Kind {
    /** The answer has a limit. */
    NAMED,
    /** The upstream processed the request and announced no limit. */
    NO_LIMIT,
    /**
     * The answer says nothing about limits: it came from another process, or no work was done for
     * it.
     */
    NOTHING,
    /** The answer has a value that is not a rate; the current limit stays in force. */
    UNREADABLE
  }

  /** An answer without a limit. */
  public static final LimitAnnouncement NO_LIMIT = new LimitAnnouncement(Kind.NO_LIMIT, 0, "");

  /** An answer that says nothing about limits. */
  public static final LimitAnnouncement NOTHING = new LimitAnnouncement(Kind.NOTHING, 0, "");

  /** Returns a limit in requests per second, zero or more. */
  public static LimitAnnouncement named(double requestsPerSecond) {
    return new LimitAnnouncement(Kind.NAMED, requestsPerSecond, "");
  }

  /** Returns an announcement with a value that is not a rate. */
  public static LimitAnnouncement unreadable(String text) {
    return new LimitAnnouncement(Kind.UNREADABLE, 0, text);
  }
}
