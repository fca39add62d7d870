package org.gradeledge.mesh;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gradeledge.peer.PeerAddress;
import org.gradeledge.peer.PeerMessageType;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.time.MonotonicClock;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

/**
 * Connections of a box with other boxes, opened on first use and closed after an idle time. A box
 * is identified by the address on which it listens for peers. Confined to the event loop.
 */
final class MeshConnections {

  /** Longer than the pauses in steady traffic, to avoid reconnecting. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

  /** Limits the time for which stage work waits for a connection. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  private final PeerNetwork network;
  private final MonotonicClock clock;
  private final Map<String, Long> lastUsedNanos = new HashMap<>();

  MeshConnections(PeerNetwork network, MonotonicClock clock) {
    this.network = network;
    this.clock = clock;
  }

  /** Marks the connections with the given boxes as used. */
  void markUsed(Collection<String> boxes) {
    long now = clock.nanos();
    boxes.forEach(box -> lastUsedNanos.put(box, now));
  }

  void markUsed(String box) {
    markUsed(List.of(box));
  }

  /** Closes the connection with a lost box, as it may be half-open. */
  void removeBox(String box) {
    lastUsedNanos.remove(box);
    network.disconnect(box);
  }

  /** Keeps the connections that were used recently and those with the given boxes open. */
  void maintain(Collection<String> boxes) {
    long since = clock.nanos() - IDLE_TIMEOUT.toNanos();
    lastUsedNanos.values().removeIf(lastUsed -> lastUsed - since < 0);
    Set<String> required = new HashSet<>(lastUsedNanos.keySet());
    required.addAll(boxes);
    network.maintainConnections(required.stream().map(MeshConnections::address).toList());
  }

  /** Returns whether the last attempt to connect to a box failed. */
  boolean isUnreachable(String box) {
    return network.isUnreachable(address(box));
  }

  /** Sends a message, over a new connection if there is none. */
  <T> void send(String box, PeerMessageType<T> type, T message) {
    markUsed(box);
    sendIfReachable(box, type, message);
  }

  /** Like {@link #send}, but marks the box as used only if it can be reached. */
  <T> void sendIfReachable(String box, PeerMessageType<T> type, T message) {
    network
        .connect(address(box), CONNECT_TIMEOUT)
        .subscribe(
            ignored -> {},
            failure ->
                Logger.debug(
                    failure, "Failed to connect to box {} for message {}", box, type.name()),
            () -> {
              markUsed(box);
              network.send(box, type, message);
            });
  }

  /**
   * Sends a request, over a new connection if there is none; the time limit counts once connected.
   */
  <T, A> Mono<A> request(
      String box, PeerMessageType<T> type, T message, Class<A> answerType, Duration limit) {
    markUsed(box);
    return network
        .connect(address(box), limit.compareTo(CONNECT_TIMEOUT) < 0 ? limit : CONNECT_TIMEOUT)
        .then(network.request(box, type, message, answerType, limit));
  }

  private static PeerAddress address(String box) {
    int colon = box.lastIndexOf(':');
    return new PeerAddress(
        box, 0, box.substring(0, colon), Integer.parseInt(box.substring(colon + 1)));
  }
}
