package org.gradeledge.batch;

/**
 * How the work on a stage ended.
 *
 * @since 0.2
 */
public enum StageOutcome {
  /** All results are there. */
  MADE,
  /** An input was gone; the stages before must be done again. */
  GONE,
  /** It cannot be done in the time left. */
  LATE,
  /** It failed and may not be tried again. */
  FAILED
}
