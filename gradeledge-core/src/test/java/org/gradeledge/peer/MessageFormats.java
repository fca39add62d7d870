package org.gradeledge.peer;

import java.io.IOException;

/** Gives tests of other packages access to the encoding and decoding of messages. */
public final class MessageFormats {

  private MessageFormats() {}

  /** Encodes a message by its format. */
  public static <T> byte[] write(MessageFormat<T> format, T message) throws IOException {
    return PeerCodec.write(format, message);
  }

  /** Decodes a message by its format. */
  public static <T> T read(MessageFormat<T> format, byte[] bytes) throws IOException {
    return PeerCodec.read(format, bytes);
  }

  /** Encodes a message by reflection. */
  public static byte[] writeReflectively(Object message) throws IOException {
    return ReflectiveCodec.write(message);
  }

  /** Decodes a message by reflection. */
  public static <T> T readReflectively(byte[] bytes, Class<T> type) throws IOException {
    return ReflectiveCodec.read(bytes, type);
  }
}
