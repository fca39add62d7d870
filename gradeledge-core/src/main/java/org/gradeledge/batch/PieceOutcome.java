package org.gradeledge.batch;

/**
 * What became of submitted pieces of stage work.
 *
 * @since 0.3
 */
public enum PieceOutcome {
  /** An upstream computed them. */
  COMPUTED("computed"),
  /** They were refused on submission, as their request would miss its target time. */
  REJECTED("rejected"),
  /** They waited too long. */
  EXPIRED("expired");

  private final String label;

  PieceOutcome(String label) {
    this.label = label;
  }

  /** Returns the name in logs and metrics. */
  public String label() {
    return label;
  }
}
