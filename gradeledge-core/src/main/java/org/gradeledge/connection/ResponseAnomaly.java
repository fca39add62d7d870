package org.gradeledge.connection;

/**
 * Data on a connection that is not the response to the call in flight.
 *
 * @param kind what was received
 * @param use the call in flight; the last one if there is none
 * @param awaitedId id of the call in flight, empty if it has none or there is none
 * @param receivedId id in the received response, empty if it has none
 * @param status status of the received response, 0 if it could not be decoded
 * @param text beginning of the received data, or the reason why it could not be decoded
 * @param millis time since the call was sent or, without a call in flight, since the last one ended
 * @since 0.6
 */
public record ResponseAnomaly(
    Kind kind,
    ConnectionUse use,
    String awaitedId,
    String receivedId,
    int status,
    String text,
    long millis) {

  /** What was received. */
  public enum Kind {
    /** A response with the id of another call. */
    OTHER_RESPONSE("other-response"),
    /** Data while no call was in flight. */
    IDLE_DATA("idle-data"),
    /** Data that is not a valid response. */
    INVALID_RESPONSE("invalid-response");

    private final String label;

    Kind(String label) {
      this.label = label;
    }

    /** Returns the name in logs and metrics. */
    public String label() {
      return label;
    }
  }
}
