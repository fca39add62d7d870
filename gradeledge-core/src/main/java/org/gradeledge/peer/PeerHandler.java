package org.gradeledge.peer;

import reactor.core.publisher.Mono;

/**
 * What a box does with one kind of message from a peer.
 *
 * @param <T> the type of the message
 * @since 0.1
 */
@FunctionalInterface
public interface PeerHandler<T> {

  /**
   * Handles a message; must not block.
   *
   * @param from who sent it, as the greeting proved
   * @return the answer, sent where the sender awaits one; empty for none
   */
  Mono<?> handle(PeerIdentity from, T message);
}
