package org.gradeledge.connection;

/** Thrown if what an upstream sends cannot be used as the response to a call. */
final class InvalidResponseException extends Exception {

  private static final long serialVersionUID = 1L;

  InvalidResponseException(String message) {
    super(message);
  }
}
