package org.gradeledge.peer;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes and reads single messages in tests. */
public final class MessageFormats {

  private MessageFormats() {}

  /** Returns a message as bytes. */
  public static <T> byte[] write(MessageFormat<T> format, T message) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      format.write(packer, message);
      return packer.toByteArray();
    }
  }

  /** Returns the message that bytes hold. */
  public static <T> T read(MessageFormat<T> format, byte[] bytes) throws IOException {
    MessageReader reader = new MessageReader(bytes);
    T message = format.read(reader);
    reader.checkEnded();
    return message;
  }
}
