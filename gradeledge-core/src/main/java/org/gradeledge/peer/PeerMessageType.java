package org.gradeledge.peer;

import java.util.Objects;

/**
 * A type of message between boxes: its name on the wire and its Java type.
 *
 * @param <T> the type of the message
 * @param name unique name on the wire
 * @param type type that the codec reads and writes
 * @since 0.1
 */
public record PeerMessageType<T>(String name, Class<T> type) {

  /** Requires the name and the type. */
  public PeerMessageType {
    Objects.requireNonNull(name, "name must not be null");
    Objects.requireNonNull(type, "type must not be null");
  }
}
