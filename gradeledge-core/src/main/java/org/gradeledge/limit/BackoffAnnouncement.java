package org.gradeledge.limit;

import java.time.Duration;

/**
 * The backoff request in one answer of an upstream, if any.
 *
 * @param kind whether the answer requests a backoff
 * @param duration requested backoff, starting with the answer; zero except for {@link
 *     Kind#REQUESTED}
 * @param text unreadable value; empty except for {@link Kind#UNREADABLE}
 * @since 0.5
 */
public record BackoffAnnouncement(Kind kind, Duration duration, String text) {

  /** Kinds of announcements. */
  public enum Kind {
    /** The upstream rejected a request and requests a backoff. */
    REQUESTED,
    /** The answer requests no backoff. */
    NOTHING,
    /** The answer has a value that is not a duration. */
    UNREADABLE
  }

  /** An answer that requests no backoff. */
  public static final BackoffAnnouncement NOTHING =
      new BackoffAnnouncement(Kind.NOTHING, Duration.ZERO, "");

  /** Returns a request to send nothing for the given duration. */
  public static BackoffAnnouncement requested(Duration duration) {
    return new BackoffAnnouncement(Kind.REQUESTED, duration, "");
  }

  /** Returns an announcement with a value that is not a duration. */
  public static BackoffAnnouncement unreadable(String text) {
    return new BackoffAnnouncement(Kind.UNREADABLE, Duration.ZERO, text);
  }
}
