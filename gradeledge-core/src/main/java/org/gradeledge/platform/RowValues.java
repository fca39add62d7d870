package org.gradeledge.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.gradeledge.document.JsonMappers;

/**
 * Serializes and deserializes the JSON values of rows.
 *
 * @since 0.1
 */
public abstract class RowValues {

  private RowValues() {}

  /** Serializes a value as JSON text. */
  public static String encode(Object value) {
    try {
      return JsonMappers.json().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("a row's value must be writable as JSON", e);
    }
  }

  /** Deserializes the value of a row; throws {@link PlatformException} if it has another type. */
  public static <T> T decode(TableRow row, Class<T> type) {
    try {
      return JsonMappers.json().readValue(row.value(), type);
    } catch (JsonProcessingException e) {
      throw new PlatformException("row " + row.key() + " must hold a " + type.getSimpleName(), e);
    }
  }
}
