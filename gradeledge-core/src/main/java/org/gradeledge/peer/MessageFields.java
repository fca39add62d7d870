package org.gradeledge.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The fields of a message that is written as a map. Access to a field that is missing or of another
 * type fails with an {@link IllegalArgumentException} that names the field.
 *
 * @since 0.3
 */
public final class MessageFields {

  private final Map<String, Object> values;

  MessageFields(Map<String, Object> values) {
    this.values = values;
  }

  /** Returns a required string. */
  public String getString(String name) {
    return getRequired(name, String.class);
  }

  /** Returns a string, or empty if the field is missing. */
  public Optional<String> getOptionalString(String name) {
    return values.containsKey(name) ? Optional.of(getString(name)) : Optional.empty();
  }

  /** Returns a required integer of up to 64 bits. */
  public long getLong(String name) {
    return getRequired(name, Long.class);
  }

  /** Returns an integer of up to 64 bits, or a default if the field is missing. */
  public long getLongOrDefault(String name, long defaultValue) {
    return values.containsKey(name) ? getLong(name) : defaultValue;
  }

  /** Returns a required integer of up to 32 bits. */
  public int getInt(String name) {
    long number = getLong(name);
    if (number != (int) number) {
      throw new IllegalArgumentException("field " + name + " must be a 32-bit integer");
    }
    return (int) number;
  }

  /** Returns a required boolean. */
  public boolean getBoolean(String name) {
    return getRequired(name, Boolean.class);
  }

  /** Returns a boolean, or false if the field is missing. */
  public boolean getBooleanOrFalse(String name) {
    return values.containsKey(name) && getBoolean(name);
  }

  /** Returns a required byte array. */
  public byte[] getBytes(String name) {
    return getRequired(name, byte[].class);
  }

  /** Returns a required list of strings. */
  public List<String> getStrings(String name) {
    return getList(name, String.class);
  }

  /** Returns a list of strings, empty if the field is missing. */
  public List<String> getStringsOrEmpty(String name) {
    return values.containsKey(name) ? getStrings(name) : List.of();
  }

  /** Returns a required list of records that are written as maps. */
  public List<MessageFields> getRecords(String name) {
    return getList(name, MessageFields.class);
  }

  private <T> List<T> getList(String name, Class<T> type) {
    List<?> list = getRequired(name, List.class);
    for (Object element : list) {
      checkType(name, element, type);
    }
    @SuppressWarnings("unchecked")
    List<T> checked = (List<T>) list;
    return checked;
  }

  private <T> T getRequired(String name, Class<T> type) {
    return checkType(name, values.get(name), type);
  }

  private static <T> T checkType(String name, @Nullable Object value, Class<T> type) {
    if (!type.isInstance(value)) {
      throw new IllegalArgumentException("field " + name + " must be a " + type.getSimpleName());
    }
    return type.cast(value);
  }
}
