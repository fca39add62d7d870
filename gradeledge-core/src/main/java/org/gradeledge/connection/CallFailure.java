package org.gradeledge.connection;

/**
 * Why a call got no whole answer.
 *
 * @since 0.2
 */
public enum CallFailure {
  /** The box has as many connections to the upstream as it may have. */
  NO_CONNECTION_FREE(false),
  /** The upstream could not be connected to. */
  NOT_CONNECTED(false),
  /** The upstream has ended since it was chosen; nothing was sent. */
  ENDED(false),
  /** The upstream has asked for no requests for a while since it was chosen; nothing was sent. */
  HELD_OFF(false),
  /** The connection ended after the request was written. */
  BROKEN(true),
  /** The upstream sent bytes that are no answer. */
  GARBLED(true);

  private final boolean requestSent;

  CallFailure(boolean sent) {
    this.requestSent = sent;
  }

  /** Returns whether it speaks against the upstream's health. */
  public boolean isUpstreamFault() {
    return this != NO_CONNECTION_FREE && this != ENDED && this != HELD_OFF;
  }

  /** Returns whether the upstream may have got the request. */
  public boolean isRequestSent() {
    return requestSent;
  }
}
