package org.gradeledge.platform;

import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The platform's transactional table.
 *
 * <p>Every call may fail with {@link PlatformException}; after a failed {@link #commit} the caller
 * cannot tell whether the writes took effect and must read back. Thread-safe.
 *
 * @since 0.1
 */
public interface TableService {

  /** Carries out a transaction. */
  Mono<CommitResult> commit(TableTransaction transaction);

  /**
   * Returns, as of one moment, all rows whose keys start with one of the prefixes.
   *
   * @param prefixes key prefixes; a whole key finds that row and any that it is a prefix of
   */
  Mono<List<TableRow>> read(List<String> prefixes);
}
