package org.gradeledge.platform;

import java.util.Objects;

/**
 * A row of the platform's table.
 *
 * @param key unique key
 * @param value value, by convention JSON text
 * @param revision revision, which changes with each write; 0 if the row does not exist
 * @since 0.1
 */
public record TableRow(String key, String value, long revision) {

  /** Revision of a row that does not exist. */
  public static final long ABSENT = 0;

  /** Validates the components. */
  public TableRow {
    Objects.requireNonNull(key, "key must be given");
    Objects.requireNonNull(value, "value must be given");
  }
}
