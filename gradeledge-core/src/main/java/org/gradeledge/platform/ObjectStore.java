package org.gradeledge.platform;

import java.util.Optional;
import reactor.core.publisher.Mono;

/**
 * The platform's store of immutable objects. Calls may fail with {@link PlatformException}; putting
 * the same object again is harmless. Thread-safe.
 *
 * @since 0.1
 */
public interface ObjectStore {

  /** Stores an object under a key. */
  Mono<Void> put(String key, byte[] content);

  /** Returns the object under a key, if there is one. */
  Mono<Optional<byte[]>> get(String key);
}
