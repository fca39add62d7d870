package org.gradeledge.follow;

import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * A table whose revision increases with every change of a row.
 *
 * @since 0.2
 */
public interface RevisionedTable {

  /** Returns a consistent snapshot of the whole table. */
  Mono<TableContent> read();

  /**
   * Returns the changes after a revision. If there are none yet, waits for the next change, at most
   * for the given time. Fails with {@link HistoryLostException} if the changes are no longer
   * available.
   */
  Mono<TableChanges> changes(long afterRevision, Duration maxWait);
}
