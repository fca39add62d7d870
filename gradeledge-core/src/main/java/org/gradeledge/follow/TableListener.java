package org.gradeledge.follow;

/**
 * Hears what a table holds, on the event loop.
 *
 * @since 0.2
 */
public interface TableListener {

  /** The whole table was read. */
  void onContent(TableContent content);

  /** Rows have changed. */
  void onChanges(TableChanges changes);

  /** An answer was taken in, whether or not it held anything new. */
  default void onAnswerApplied() {}

  /** A call has got no answer: the table may have been away for as long as the call took. */
  default void onUnavailable() {}

  /**
   * The table came back as an older copy of itself, which follows as a whole reading: what was
   * written since the copy was taken is missing from it, and what was removed since is there again,
   * until whoever wrote it does so anew.
   */
  default void onBackupRestored() {}

  /** The table answers again after it was away; what it says now follows. */
  default void onAvailableAgain() {}
}
