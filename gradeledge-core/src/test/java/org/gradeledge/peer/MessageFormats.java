package org.gradeledge.peer;

import java.io.IOException;

/** Writes and reads single messages in tests, as the codec does. */
public final class MessageFormats {

  private MessageFormats() {}

  /** Returns a message as bytes. */
  public static <T> byte[] write(MessageFormat<T> format, T message) throws IOException {
    return PeerCodec.write(format, message);
  }

  /** Returns the message that bytes hold. */
  public static <T> T read(MessageFormat<T> format, byte[] bytes) throws IOException {
    return PeerCodec.read(format, bytes);
  }

  /** Returns a message as bytes, bound by reflection. */
  public static byte[] writeReflectively(Object message) throws IOException {
    return ReflectiveCodec.write(message);
  }

  /** Returns the message that bytes hold, bound by reflection. */
  public static <T> T readReflectively(byte[] bytes, Class<T> type) throws IOException {
    return ReflectiveCodec.read(bytes, type);
  }
}
