package org.gradeledge.follow;

import java.util.List;
import reactor.core.publisher.Mono;

/**
 * A table that the boxes of the deployment write.
 *
 * @since 0.3
 */
public interface WritableTable extends RevisionedTable {

  /**
   * Creates a row. Returns false if a row with that key exists already. If the call fails without
   * an answer, the row may have been created.
   */
  Mono<Boolean> create(TableRow row);

  /**
   * Writes rows and removes others in one transaction. If the call fails without an answer, it may
   * have been executed or be executed later.
   */
  Mono<Void> update(List<TableRow> rows, List<String> removedKeys);

  /** Removes the rows with the given keys, if they exist. */
  Mono<Void> remove(List<String> keys);
}
