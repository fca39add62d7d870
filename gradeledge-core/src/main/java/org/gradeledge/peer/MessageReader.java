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
 * Reads consecutive MessagePack values. A declared length that exceeds the remaining bytes is
 * rejected before memory is allocated for it. Not thread-safe.
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

  /** Bounds the recursion; no message is nested as deeply. */
  private static final int MAX_DEPTH = 16;

  private final MessageUnpacker unpacker;
  private final int length;
  private int depth;

  MessageReader(byte[] bytes) {
    this.unpacker = MessagePack.newDefaultUnpacker(bytes);
    this.length = bytes.length;
  }

  /** Reads a string. */
  public String readString() throws IOException {
    byte[] bytes = unpacker.readPayload(checkSize(unpacker.unpackRawStringHeader()));
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Reads an integer of up to 64 bits. */
  public long readLong() throws IOException {
    return unpacker.unpackLong();
  }

  /** Reads an integer of up to 32 bits. */
  public int readInt() throws IOException {
    return unpacker.unpackInt();
  }

  /** Reads a boolean. */
  public boolean readBoolean() throws IOException {
    return unpacker.unpackBoolean();
  }

  /** Reads a byte array. */
  public byte[] readBytes() throws IOException {
    return unpacker.readPayload(checkSize(unpacker.unpackBinaryHeader()));
  }

  /** Reads a list. */
  public <T> List<T> readList(ElementReader<T> elementReader) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<T> list = new ArrayList<>(checkSize(size));
    for (int index = 0; index < size; index++) {
      list.add(elementReader.read(this));
    }
    return list;
  }

  /** Reads a map with strings as keys. */
  public <T> Map<String, T> readMap(ElementReader<T> valueReader) throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<String, T> map = new HashMap<>(checkSize(size));
    for (int index = 0; index < size; index++) {
      map.put(readString(), valueReader.read(this));
    }
    return map;
  }

  /**
   * Reads the header of a record that is written as an array.
   *
   * @param fields the number of fields that the caller reads
   * @return the number of extra fields, which the caller must {@link #skip} after these
   */
  public int beginRecord(int fields) throws IOException {
    int size = unpacker.unpackArrayHeader();
    if (size < fields) {
      throw new IOException("record must have at least " + fields + " fields, but has " + size);
    }
    return size - fields;
  }

  /** Skips a number of values. */
  public void skip(int count) throws IOException {
    unpacker.skipValue(count);
  }

  /** Reads a record that is written as a map; its fields may be in any order. */
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

  /** Reads a record that is written as a map and returns one of its fields. */
  public <T> T readField(String name, ElementReader<T> valueReader) throws IOException {
    int size = unpacker.unpackMapHeader();
    Optional<T> found = Optional.empty();
    for (int index = 0; index < size; index++) {
      if (name.equals(readString())) {
        found = Optional.of(valueReader.read(this));
      } else {
        skip(1);
      }
    }
    return found.orElseThrow(() -> new IllegalArgumentException("field " + name + " is missing"));
  }

  /** Reads a value of any type; skips types that no message uses, and returns null for these. */
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

  private <T> T readNested(ElementReader<T> valueReader) throws IOException {
    if (depth == MAX_DEPTH) {
      throw new IOException("message must not be nested deeper than " + MAX_DEPTH);
    }
    depth++;
    T value = valueReader.read(this);
    depth--;
    return value;
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
      throw new IOException("frame must contain exactly one message");
    }
  }

  private int checkSize(int size) throws IOException {
    if (size > length - unpacker.getTotalReadBytes()) {
      throw new IOException("length " + size + " exceeds the remaining bytes");
    }
    return size;
  }
}
