package org.gradeledge.batch;

/**
 * The outcome of a group of pieces.
 *
 * @since 0.2
 */
public enum StageOutcome {
  /** All pieces were computed. */
  MADE,
  /** An input is no longer stored; the earlier stages must be repeated. */
  GONE,
  /** The group cannot be completed in the remaining time. */
  LATE,
  /** The group failed and must not be retried. */
  FAILED
}
