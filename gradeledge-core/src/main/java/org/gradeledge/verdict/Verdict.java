package org.gradeledge.verdict;

/**
 * Whether a request may have run.
 *
 * <p>A verdict only advances, from {@link #NOT_RUN} to {@link #MAY_HAVE_RUN} to {@link #COMPLETED}.
 *
 * @since 0.1
 */
public enum Verdict {
  /** No stage call was handed to a connection, or the upstream reported that it did not run. */
  NOT_RUN("not-run") {
    @Override
    public boolean allowsRetry() {
      return true;
    }
  },
  /** A stage call was handed to a connection and its effect is unknown. */
  MAY_HAVE_RUN("may-have-run") {
    @Override
    public boolean allowsRetry() {
      return false;
    }
  },
  /** The work is complete and its result is known. */
  COMPLETED("completed") {
    @Override
    public boolean allowsRetry() {
      return false;
    }
  };

  private final String wireName;

  Verdict(String wireName) {
    this.wireName = wireName;
  }

  /** Returns whether a retry cannot run the work twice. */
  public abstract boolean allowsRetry();

  /** Returns the name used in answers and headers. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the verdict for work that consists of a part with this verdict and one with the other
   * verdict.
   */
  public Verdict combine(Verdict other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
