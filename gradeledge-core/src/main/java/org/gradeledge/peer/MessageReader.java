package org.gradeledge.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Reads values in MessagePack one after the other. A length that is larger than what is left is
 * refused before anything is allocated for it. Not thread-safe.
 *
 * @since 0.3
 */
public final class MessageReader {

  /** Reads one value. */
  @FunctionalInterface
  public interface ElementReader<T> {

    /** Returns the next value. */
    T read(MessageReader reader) throws IOException;
  }

  /** Deeper than any message is; bounds the depth of calls. */
  private static final int MAX_DEPTH = 16;

  private final MessageUnpacker unpacker;
  private final int length;
  private int depth;

  MessageReader(byte[] bytes) {
    this.unpacker = MessagePack.newDefaultUnpacker(bytes);
    this.length = bytes.length;
  }

  /** Returns a text. */
  public String readString() throws IOException {
    byte[] bytes = unpacker.readPayload(checkSize(unpacker.unpackRawStringHeader()));
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Returns a number. */
  public long readLong() throws IOException {
    return unpacker.unpackLong();
  }

  /** Returns a number of 32 bits. */
  public int readInt() throws IOException {
    return unpacker.unpackInt();
  }

  /** Returns true or false. */
  public boolean readBoolean() throws IOException {
    return unpacker.unpackBoolean();
  }

  /** Returns bytes. */
  public byte[] readBytes() throws IOException {
    return unpacker.readPayload(checkSize(unpacker.unpackBinaryHeader()));
  }

  /** Returns a list, each element read alike. */
  public <T> List<T> readList(ElementReader<T> element) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<T> list = new ArrayList<>(checkSize(size));
    for (int index = 0; index < size; index++) {
      list.add(element.read(this));
    }
    return list;
  }

  /** Returns a map by texts, each value read alike. */
  public <T> Map<String, T> readMap(ElementReader<T> value) throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<String, T> map = new HashMap<>(checkSize(size));
    for (int index = 0; index < size; index++) {
      map.put(readString(), value.read(this));
    }
    return map;
  }

  /**
   * Begins a record that is written as an array.
   *
   * @param fields how many fields are known
   * @return how many more there are, which {@link #skip} passes over after the known ones
   */
  public int beginRecord(int fields) throws IOException {
    int size = unpacker.unpackArrayHeader();
    if (size < fields) {
      throw new IOException("a record must have " + fields + " fields, not " + size);
    }
    return size - fields;
  }

  /** Passes over so many values. */
  public void skip(int values) throws IOException {
    unpacker.skipValue(values);
  }

  /** Returns a record that is written as a map; its fields may come in any order. */
  public MessageFields readFields() throws IOException {
    int size = checkSize(unpacker.unpackMapHeader());
    Map<String, Object> fields = new HashMap<>();
    for (int index = 0; index < size; index++) {
      String name = readString();
      Object value = readValue();
      if (value != null) {
        fields.put(name, value);
      }
    }
    return new MessageFields(fields);
  }

  /** Returns the only field that matters of a record that is written as a map. */
  public <T> T readField(String name, ElementReader<T> value) throws IOException {
    int size = unpacker.unpackMapHeader();
    Optional<T> found = Optional.empty();
    for (int index = 0; index < size; index++) {
      if (name.equals(readString())) {
        found = Optional.of(value.read(this));
      } else {
        skip(1);
      }
    }
    return found.orElseThrow(() -> new IllegalArgumentException("field " + name + " is missing"));
  }

  /** Returns a value as Java has it; null for what no message holds, which is passed over. */
  private @Nullable Object readValue() throws IOException {
    ValueType type = unpacker.getNextFormat().getValueType();
    switch (type) {
      case STRING:
        return readString();
      case INTEGER:
        return readLong();
      case BOOLEAN:
        return readBoolean();
      case BINARY:
        return readBytes();
      case ARRAY:
        return readNested(MessageReader::readValueList);
      case MAP:
        return readNested(MessageReader::readFields);
      default:
        skip(1);
        return null;
    }
  }

  private <T> T readNested(ElementReader<T> value) throws IOException {
    if (depth == MAX_DEPTH) {
      throw new IOException("a message must not be nested deeper than " + MAX_DEPTH);
    }
    depth++;
    T read = value.read(this);
    depth--;
    return read;
  }

  private List<@Nullable Object> readValueList() throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<@Nullable Object> list = new ArrayList<>(checkSize(size));
    for (int index = 0; index < size; index++) {
      list.add(readValue());
    }
    return list;
  }

  void checkFullyRead() throws IOException {
    if (unpacker.hasNext()) {
      throw new IOException("a frame must hold one message");
    }
  }

  private int checkSize(int size) throws IOException {
    if (size > length - unpacker.getTotalReadBytes()) {
      throw new IOException("a length of " + size + " is more than what is left");
    }
    return size;
  }
}
