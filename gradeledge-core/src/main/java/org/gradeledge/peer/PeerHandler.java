package org.gradeledge.peer;

import reactor.core.publisher.Mono;

/**
 * Handles messages of one type from peers.
 *
 * @param <T> the type of the message
 * @since 0.1
 */
@FunctionalInterface
public interface PeerHandler<T> {

  /**
   * Handles a message; must not block.
   *
   * @param from the authenticated sender
   * @return the answer, or empty; used only if the sender expects one
   */
  Mono<?> handle(PeerIdentity from, T message);
}
