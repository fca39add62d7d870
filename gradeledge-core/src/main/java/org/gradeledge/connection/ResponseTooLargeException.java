package org.gradeledge.connection;

/**
 * Thrown by a {@link CallListener} that accepts no more of a response.
 *
 * @since 0.3
 */
public final class ResponseTooLargeException extends UnusableResponseException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception for a part of a response that exceeds a maximum size. */
  public ResponseTooLargeException(String part, int maxBytes) {
    super(part + " exceeds " + maxBytes + " bytes");
  }
}
