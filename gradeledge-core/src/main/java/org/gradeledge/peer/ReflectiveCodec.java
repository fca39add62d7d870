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
 * Writes and reads messages without a registered {@link MessageFormat} in MessagePack, binding
 * their fields by reflection. A separate class, so that its libraries are loaded on first use only.
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
      throw new IOException("frame must contain a message of type " + type.getSimpleName());
    }
    return message;
  }

  /**
   * Rejects truncated and trailing bytes before binding: the mapper would allocate a declared
   * length before it finds that the bytes are missing.
   */
  private static void checkStructure(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new IOException("frame must contain exactly one message");
      }
    }
  }
}
