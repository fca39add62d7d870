package org.gradeledge.peer;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes and reads messages in MessagePack; bad bytes give a {@link PeerException}. Types without a
 * format of their own are bound by reflection. Thread-safe.
 */
final class PeerCodec {

  /** Most messages are smaller, in bytes; larger ones take more buffers. */
  private static final int BUFFER_BYTES = 1_024;

  private static final MessagePack.PackerConfig PACKER_CONFIG =
      new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

  private final Map<Class<?>, MessageFormat<?>> formats = new ConcurrentHashMap<>();

  PeerCodec() {
    register(PeerFrame.class, new PeerFrameFormat());
    register(PeerHello.class, new PeerHelloFormat());
    register(byte[].class, new BytesFormat());
  }

  /** Sets how messages of a type are written and read. */
  <T> void register(Class<T> type, MessageFormat<T> format) {
    formats.put(type, format);
  }

  <T> byte[] encode(T message) {
    @SuppressWarnings("unchecked")
    MessageFormat<T> format = (MessageFormat<T>) formats.get(message.getClass());
    try {
      return format == null ? ReflectiveCodec.write(message) : write(format, message);
    } catch (IOException e) {
      throw new IllegalArgumentException("message must be writable as MessagePack", e);
    }
  }

  static <T> byte[] write(MessageFormat<T> format, T message) throws IOException {
    try (MessageBufferPacker packer = PACKER_CONFIG.newBufferPacker()) {
      format.write(packer, message);
      return packer.toByteArray();
    }
  }

  <T> T decode(byte[] bytes, Class<T> type) {
    @SuppressWarnings("unchecked")
    MessageFormat<T> format = (MessageFormat<T>) formats.get(type);
    try {
      return format == null ? ReflectiveCodec.read(bytes, type) : read(format, bytes);
    } catch (IOException | RuntimeException e) {
      throw new PeerException("a frame must hold a valid " + type.getSimpleName(), e);
    }
  }

  static <T> T read(MessageFormat<T> format, byte[] bytes) throws IOException {
    MessageReader reader = new MessageReader(bytes);
    T message = format.read(reader);
    reader.checkFullyRead();
    return message;
  }
}
