package org.gradeledge.follow;

/**
 * The changes after a revision are not known any more; the table must be read anew.
 *
 * @since 0.2
 */
public final class HistoryLostException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public HistoryLostException(String message) {
    super(message);
  }
}
