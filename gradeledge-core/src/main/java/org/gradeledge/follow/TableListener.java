package org.gradeledge.follow;

/**
 * Receives the content and the changes of a followed table, on the event loop.
 *
 * @since 0.2
 */
public interface TableListener {

  /** Called after the whole table was read. */
  void onContent(TableContent content);

  /** Called after rows have changed. */
  void onChanges(TableChanges changes);

  /** Called after each answer was applied, whether or not it contained changes. */
  default void onAnswerApplied() {}

  /** Called after the first failed call; the table may be unavailable since the call was sent. */
  default void onUnavailable() {}

  /**
   * Called if the table was restored from a backup, before {@link #onContent}. Rows written since
   * the backup are missing and rows removed since are present again, until boxes write or remove
   * them again.
   */
  default void onBackupRestored() {}

  /** Called when the table answers again, before the answer is applied. */
  default void onAvailableAgain() {}
}
