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

  /** The table has not answered several times in a row. */
  default void onAway() {}

  /** The table answers again after it was away; what it says now follows. */
  default void onBack() {}
}
