package org.gradeledge.metrics;

import java.util.Locale;

/**
 * What became of one call of a stage.
 *
 * @since 0.1
 */
public enum AttemptResult {
  /** Its answer was used. */
  USED,
  /** It failed. */
  FAILED,
  /** It was cancelled, since its answer was no longer wanted. */
  CANCELLED;

  /** Returns the name used as a label. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
