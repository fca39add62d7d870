package org.gradeledge.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Writes and reads messages in MessagePack; bad bytes give a {@link PeerException}. */
final class PeerCodec {

  private final ObjectMapper mapper =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .registerModule(new ParameterNamesModule())
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  byte[] encode(Object message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("message must be writable as MessagePack", e);
    }
  }

  <T> T decode(byte[] bytes, Class<T> type) {
    try {
      checkLengths(bytes);
      T message = mapper.readValue(bytes, type);
      if (message == null) {
        throw new PeerException("a frame must hold a message of " + type.getSimpleName(), null);
      }
      return message;
    } catch (IOException | RuntimeException e) {
      throw new PeerException("a frame must hold a valid " + type.getSimpleName(), e);
    }
  }

  /**
   * A value may claim a length of gigabytes in five bytes, and the mapper would allocate it before
   * it found the rest missing; skipping finds it without allocating.
   */
  private static void checkLengths(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new PeerException("a frame must hold one message", null);
      }
    }
  }
}
