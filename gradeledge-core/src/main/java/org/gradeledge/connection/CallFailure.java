package org.gradeledge.connection;

/**
 * The reason why a call received no complete response.
 *
 * @since 0.2
 */
public enum CallFailure {
  /** The box has reached its connection limit for the upstream. */
  NO_CONNECTION_FREE(false),
  /** The connection to the upstream could not be established. */
  NOT_CONNECTED(false),
  /** The upstream was retired after it was selected; nothing was sent. */
  ENDED(false),
  /** The upstream requested a backoff after it was selected; nothing was sent. */
  HELD_OFF(false),
  /** The connection was closed after the request was sent. */
  BROKEN(true),
  /** The response could not be decoded. */
  GARBLED(true);

  private final boolean requestSent;

  CallFailure(boolean sent) {
    this.requestSent = sent;
  }

  /** Returns whether the failure counts against the health of the upstream. */
  public boolean isUpstreamFault() {
    return this != NO_CONNECTION_FREE && this != ENDED && this != HELD_OFF;
  }

  /** Returns whether the upstream may have received the request. */
  public boolean isRequestSent() {
    return requestSent;
  }
}
