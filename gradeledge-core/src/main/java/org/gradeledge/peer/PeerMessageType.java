package org.gradeledge.peer;

import java.util.Objects;

/**
 * A kind of message between boxes: its name on the wire and the type that carries it.
 *
 * @param <T> the type of the message
 * @param name short and unique
 * @param type a record that the codec can read and write
 * @since 0.1
 */
public record PeerMessageType<T>(String name, Class<T> type) {

  /** Checks the parts. */
  public PeerMessageType {
    Objects.requireNonNull(name, "name must be given");
    Objects.requireNonNull(type, "type must be given");
  }
}
