package org.gradeledge.platform;

import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The platform's transactional table.
 *
 * <p>Calls may fail with {@link PlatformException}. After a failed {@link #commit} the writes may
 * have taken effect, so the caller must read the rows again. Thread-safe.
 *
 * @since 0.1
 */
public interface TableService {

  /** Commits a transaction. */
  Mono<CommitResult> commit(TableTransaction transaction);

  /**
   * Returns a consistent snapshot of all rows whose keys start with one of the prefixes.
   *
   * @param prefixes key prefixes; a full key also matches longer keys that start with it
   */
  Mono<List<TableRow>> read(List<String> prefixes);
}
