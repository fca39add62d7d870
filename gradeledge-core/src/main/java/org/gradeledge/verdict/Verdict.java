package org.gradeledge.verdict;

/**
 * Says whether a request may have run.
 *
 * <p>A verdict only ever moves forward, from {@link #NOT_RUN} to {@link #MAY_HAVE_RUN} to {@link
 * #COMPLETED}. Source: the brief, "A refusal that says 'not run' is true".
 *
 * @since 0.1
 */
public enum Verdict {
  /** No stage call was handed to a connection, or the upstream itself said that it did not run. */
  NOT_RUN("not-run") {
    @Override
    public boolean allowsRetry() {
      return true;
    }
  },
  /** A stage call was handed over and its effect is not known. */
  MAY_HAVE_RUN("may-have-run") {
    @Override
    public boolean allowsRetry() {
      return false;
    }
  },
  /** The work was done and its result is known. */
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

  /** Returns whether doing the work again cannot do it twice. */
  public abstract boolean allowsRetry();

  /** Returns the name used in answers and headers. */
  public String wireName() {
    return wireName;
  }

  /** Returns the verdict for work of which this is one part and {@code other} another part. */
  public Verdict combine(Verdict other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
