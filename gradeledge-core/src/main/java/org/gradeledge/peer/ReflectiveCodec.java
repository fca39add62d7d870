package org.gradeledge.peer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Binds types of messages that have no format of their own to fields by reflection. It is loaded
 * when the first of them is written or read, as a young box pays for what it loads.
 */
final class ReflectiveCodec {

  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .registerModule(new ParameterNamesModule())
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private ReflectiveCodec() {}

  static byte[] write(Object message) throws IOException {
    return MAPPER.writeValueAsBytes(message);
  }

  static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    checkStructure(bytes);
    T message = MAPPER.readValue(bytes, type);
    if (message == null) {
      throw new IOException("a frame must hold a message of " + type.getSimpleName());
    }
    return message;
  }

  /**
   * A value may claim a length of gigabytes in five bytes, and the mapper would allocate it before
   * it found the rest missing; skipping finds it without allocating.
   */
  private static void checkStructure(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new IOException("a frame must hold one message");
      }
    }
  }
}
