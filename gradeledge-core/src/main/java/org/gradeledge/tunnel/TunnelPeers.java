package org.gradeledge.tunnel;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import reactor.core.publisher.Mono;

/**
 * The other boxes, identified by the addresses on which they listen for peers.
 *
 * @since 0.3
 */
public interface TunnelPeers {

  /** Returns the other boxes that accept work of others. */
  List<String> available();

  /** Returns whether a box is in the same availability zone as this one. */
  boolean isInOwnZone(String box);

  /** Returns whether a box accepts work of others. */
  boolean isAvailable(String box);

  /** Asks a box to connect to an upstream. */
  Mono<TunnelOffer> request(String box, TunnelRequest request, Duration timeout);

  /** Adds a listener for boxes that stopped responding. */
  void onLost(Consumer<String> listener);
}
