package org.gradeledge.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/**
 * How one type of message is written and read, one statement for each field. What a box runs for
 * its first messages has not been compiled yet, so that the amount of code counts: binding by
 * reflection took a fifth of the event loop's time in a young box's first forty requests.
 *
 * @param <T> the type of the message
 * @since 0.3
 */
public interface MessageFormat<T> {

  /** Writes a message as one value. */
  void write(MessagePacker packer, T message) throws IOException;

  /**
   * Reads one value.
   *
   * @throws IOException if bytes are missing
   * @throws RuntimeException if the value is none that {@link #write} makes
   */
  T read(MessageReader reader) throws IOException;
}
