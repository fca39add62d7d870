package org.gradeledge.follow;

import java.util.List;
import reactor.core.publisher.Mono;

/**
 * A table of the deployment's own, which its boxes write.
 *
 * @since 0.3
 */
public interface WritableTable extends RevisionedTable {

  /**
   * Creates a row; the value tells whether it was created, or one of that key was there already. It
   * fails where there was no answer, and then the row may be there.
   */
  Mono<Boolean> create(TableRow row);

  /** Removes the rows of some keys, if they are there. */
  Mono<Void> remove(List<String> keys);
}
