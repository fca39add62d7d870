package org.gradeledge.limit;

/**
 * What one answer of an upstream says of the requests that it takes.
 *
 * @param kind what was said
 * @param perSecond requests a second from all boxes together; 0 but for {@link Kind#NAMED}
 * @param text what stood there; empty but for {@link Kind#UNREADABLE}
 * @since 0.4
 */
public record LimitStatement(Kind kind, double perSecond, String text) {

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
  public static final LimitStatement NO_LIMIT = new LimitStatement(Kind.NO_LIMIT, 0, "");

  /** The answer does not tell. */
  public static final LimitStatement NOTHING = new LimitStatement(Kind.NOTHING, 0, "");

  /** Returns that an upstream takes so many requests a second, zero or more. */
  public static LimitStatement named(double perSecond) {
    return new LimitStatement(Kind.NAMED, perSecond, "");
  }

  /** Returns that what stood there is no rate. */
  public static LimitStatement unreadable(String text) {
    return new LimitStatement(Kind.UNREADABLE, 0, text);
  }
}
