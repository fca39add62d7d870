package org.gradeledge.limit;

import java.time.Duration;

/**
 * What one answer of an upstream says of the time in which it wants no requests from this box.
 *
 * @param kind what was said
 * @param duration how long nothing is wanted, from the answer on; zero but for {@link
 *     Kind#REQUESTED}
 * @param text what stood there; empty but for {@link Kind#UNREADABLE}
 * @since 0.5
 */
public record BackoffAnnouncement(Kind kind, Duration duration, String text) {

  /** What may be said. */
  public enum Kind {
    /** It turned a request away, and wants none for a while. */
    REQUESTED,
    /** It says nothing of that. */
    NOTHING,
    /** There is something that is no duration. */
    UNREADABLE
  }

  /** The answer says nothing of a backoff. */
  public static final BackoffAnnouncement NOTHING =
      new BackoffAnnouncement(Kind.NOTHING, Duration.ZERO, "");

  /** Returns that an upstream wants no requests for a while. */
  public static BackoffAnnouncement requested(Duration duration) {
    return new BackoffAnnouncement(Kind.REQUESTED, duration, "");
  }

  /** Returns that what stood there is no duration. */
  public static BackoffAnnouncement unreadable(String text) {
    return new BackoffAnnouncement(Kind.UNREADABLE, Duration.ZERO, text);
  }
}
