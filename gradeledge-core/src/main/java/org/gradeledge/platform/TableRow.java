package org.gradeledge.platform;

import java.util.Objects;

/**
 * One row of the platform's table.
 *
 * @param key unique name
 * @param value text, JSON by convention
 * @param revision changes with every write of the row; 0 means that there is no row
 * @since 0.1
 */
public record TableRow(String key, String value, long revision) {

  /** Revision that stands for "there is no row". */
  public static final long ABSENT = 0;

  /** Checks the row. */
  public TableRow {
    Objects.requireNonNull(key, "key must be given");
    Objects.requireNonNull(value, "value must be given");
  }
}
