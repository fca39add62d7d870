package org.gradeledge.connection;

/**
 * Thrown by a {@link CallListener} that cannot use the content of a response. The call fails as
 * {@link CallFailure#GARBLED} and its connection is closed, as an upstream may send without end.
 *
 * @since 0.3
 */
public class UnusableResponseException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the reason. */
  public UnusableResponseException(String message) {
    super(message);
  }
}
