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
  public String text(String name) {
    return required(name, String.class);
  }

  /** Returns a text that may be missing. */
  public Optional<String> optionalText(String name) {
    return values.containsKey(name) ? Optional.of(text(name)) : Optional.empty();
  }

  /** Returns a number. */
  public long number(String name) {
    return required(name, Long.class);
  }

  /** Returns a number, or another one where the field is missing, as in messages of older boxes. */
  public long numberOr(String name, long missing) {
    return values.containsKey(name) ? number(name) : missing;
  }

  /** Returns a number of 32 bits. */
  public int integer(String name) {
    long number = number(name);
    if (number != (int) number) {
      throw new IllegalArgumentException("field " + name + " must be a number of 32 bits");
    }
    return (int) number;
  }

  /** Returns true or false. */
  public boolean flag(String name) {
    return required(name, Boolean.class);
  }

  /**
   * Returns true or false, the latter where the field is missing, as in messages of older boxes.
   */
  public boolean flagIfGiven(String name) {
    return values.containsKey(name) && flag(name);
  }

  /** Returns bytes. */
  public byte[] bytes(String name) {
    return required(name, byte[].class);
  }

  /** Returns a list of texts. */
  public List<String> texts(String name) {
    return list(name, String.class);
  }

  /** Returns a list of texts, empty where the field is missing, as in messages of older boxes. */
  public List<String> textsIfGiven(String name) {
    return values.containsKey(name) ? texts(name) : List.of();
  }

  /** Returns a list of records that are written as maps. */
  public List<MessageFields> records(String name) {
    return list(name, MessageFields.class);
  }

  private <T> List<T> list(String name, Class<T> type) {
    List<?> list = required(name, List.class);
    for (Object element : list) {
      checkType(name, element, type);
    }
    @SuppressWarnings("unchecked")
    List<T> checked = (List<T>) list;
    return checked;
  }

  private <T> T required(String name, Class<T> type) {
    return checkType(name, values.get(name), type);
  }

  private static <T> T checkType(String name, @Nullable Object value, Class<T> type) {
    if (!type.isInstance(value)) {
      throw new IllegalArgumentException("field " + name + " must be a " + type.getSimpleName());
    }
    return type.cast(value);
  }
}
