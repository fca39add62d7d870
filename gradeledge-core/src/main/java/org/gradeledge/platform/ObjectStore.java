package org.gradeledge.platform;

import java.util.Optional;
import reactor.core.publisher.Mono;

/**
 * The platform's store of immutable objects. Calls may fail with {@link PlatformException}; {@link
 * #put} is idempotent. Thread-safe.
 *
 * @since 0.1
 */
public interface ObjectStore {

  /** Stores an object under a key. */
  Mono<Void> put(String key, byte[] content);

  /** Returns the object under a key, empty if there is none. */
  Mono<Optional<byte[]>> get(String key);
}
