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
}
