package org.gradeledge.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The fields of a message that is written as a map. What is missing or of another type gives an
 * {@link IllegalArgumentException} that names the field.
 *
 * @since 0.3
 */
public final class MessageFields {

  private final Map<String, Object> values;

  MessageFields(Map<String, Object> values) {
    this.values = values;
  }

  /** Returns a text. */
  public String getString(String name) {
    return getRequired(name, String.class);
  }

  /** Returns a text that may be missing. */
  public Optional<String> getOptionalString(String name) {
    return values.containsKey(name) ? Optional.of(getString(name)) : Optional.empty();
  }

  /** Returns a number. */
  public long getLong(String name) {
    return getRequired(name, Long.class);
  }

  /** Returns a number, or another one where the field is missing, as in messages of older boxes. */
  public long getLongOrDefault(String name, long missing) {
    return values.containsKey(name) ? getLong(name) : missing;
  }

  /** Returns a number of 32 bits. */
  public int getInt(String name) {
    long number = getLong(name);
    if (number != (int) number) {
      throw new IllegalArgumentException("field " + name + " must be a number of 32 bits");
    }
    return (int) number;
  }

  /** Returns true or false. */
  public boolean getBoolean(String name) {
    return getRequired(name, Boolean.class);
  }

  /**
   * Returns true or false, the latter where the field is missing, as in messages of older boxes.
   */
  public boolean getBooleanOrFalse(String name) {
    return values.containsKey(name) && getBoolean(name);
  }

  /** Returns bytes. */
  public byte[] getBytes(String name) {
    return getRequired(name, byte[].class);
  }

  /** Returns a list of texts. */
  public List<String> getStrings(String name) {
    return getList(name, String.class);
  }

  /** Returns a list of texts, empty where the field is missing, as in messages of older boxes. */
  public List<String> getStringsOrEmpty(String name) {
    return values.containsKey(name) ? getStrings(name) : List.of();
  }

  /** Returns a list of records that are written as maps. */
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
