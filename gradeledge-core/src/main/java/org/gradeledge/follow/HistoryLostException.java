package org.gradeledge.follow;

/**
 * Thrown if the changes after a revision are no longer available, so that the whole table must be
 * read.
 *
 * @since 0.2
 */
public final class HistoryLostException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message. */
  public HistoryLostException(String message) {
    super(message);
  }
}
