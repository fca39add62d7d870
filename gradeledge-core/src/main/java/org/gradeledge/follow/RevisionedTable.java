package org.gradeledge.follow;

import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * A table whose rows carry revisions of one counter that rises with every change.
 *
 * @since 0.2
 */
public interface RevisionedTable {

  /** Returns the whole table as of one moment. */
  Mono<TableContent> read();

  /**
   * Returns what has changed after a revision, at once or as soon as something does, but not later
   * than after the wait; fails with {@link HistoryLostException} where that is not known any more.
   */
  Mono<TableChanges> changes(long afterRevision, Duration wait);
}
