package org.gradeledge.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/**
 * Writes and reads one type of message without reflection, which is slow in a box that has just
 * started and whose code is not compiled yet.
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
   * @throws RuntimeException if the value was not written by {@link #write}
   */
  T read(MessageReader reader) throws IOException;
}
