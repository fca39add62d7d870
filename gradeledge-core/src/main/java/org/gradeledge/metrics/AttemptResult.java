package org.gradeledge.metrics;

import java.util.Locale;

/**
 * Result of one call of a stage.
 *
 * @since 0.1
 */
public enum AttemptResult {
  /** The answer was used. */
  USED,
  /** The call failed. */
  FAILED,
  /** The call was cancelled because its answer was no longer required. */
  CANCELLED;

  /** Returns the value of the metric label. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
