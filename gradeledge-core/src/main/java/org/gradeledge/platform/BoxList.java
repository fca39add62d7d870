package org.gradeledge.platform;

import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The platform's list of live and leaving boxes, which lags. Calls may fail with {@link
 * PlatformException}. Thread-safe.
 *
 * @since 0.1
 */
public interface BoxList {

  /** Returns the list; a box that is not in it is gone, as far as the platform knows. */
  Mono<List<ListedBox>> list();

  /** Enters a box, or changes what the list says of it. */
  Mono<Void> announce(ListedBox box);

  /** Takes a box off the list. */
  Mono<Void> withdraw(String id);
}
