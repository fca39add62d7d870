package org.gradeledge.platform;

import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The platform's eventually consistent list of live and leaving boxes. Calls may fail with {@link
 * PlatformException}. Thread-safe.
 *
 * @since 0.1
 */
public interface BoxList {

  /** Returns all boxes that the platform considers running. */
  Mono<List<ListedBox>> list();

  /** Adds or updates a box. */
  Mono<Void> announce(ListedBox box);

  /** Removes a box. */
  Mono<Void> withdraw(String id);
}
