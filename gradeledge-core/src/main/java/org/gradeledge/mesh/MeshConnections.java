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
 * The connections of a box with others of its deployment, opened when they are first used and kept
 * up until they have rested for a while. A box is named by the address that it listens on for
 * peers. Confined to the event loop.
 */
final class MeshConnections {

  /** Longer than the pauses of steady traffic, so that what is used is not opened again. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

  /** A busy box takes a few tens of milliseconds for both greetings; work must not wait longer. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  private final PeerNetwork network;
  private final MonotonicClock clock;
  private final Map<String, Long> lastUsedNanos = new HashMap<>();

  MeshConnections(PeerNetwork network, MonotonicClock clock) {
    this.network = network;
    this.clock = clock;
  }

  /** Notes that boxes are needed; connections with them stay up for a while. */
  void markUsed(Collection<String> boxes) {
    long now = clock.nanos();
    boxes.forEach(box -> lastUsedNanos.put(box, now));
  }

  /** Notes that a box is needed. */
  void markUsed(String box) {
    markUsed(List.of(box));
  }

  /** Forgets a box that is lost; a connection with it that may have gone silent is closed. */
  void removeBox(String box) {
    lastUsedNanos.remove(box);
    network.disconnect(box);
  }

  /** Keeps up the connections that are needed, and some more boxes' just now. */
  void maintain(Collection<String> more) {
    long since = clock.nanos() - IDLE_TIMEOUT.toNanos();
    lastUsedNanos.values().removeIf(used -> used - since < 0);
    Set<String> wanted = new HashSet<>(lastUsedNanos.keySet());
    wanted.addAll(more);
    network.keepUp(wanted.stream().map(MeshConnections::address).toList());
  }

  /** Returns whether the last dial of a box came to nothing. */
  boolean isUnreachable(String box) {
    return network.isUnreachable(address(box));
  }

  /** Sends a message, over a new connection if there is none. */
  <T> void send(String box, PeerMessageType<T> type, T message) {
    markUsed(box);
    sendIfReachable(box, type, message);
  }

  /** As {@link #send}, but a box that cannot be reached is not dialed again for it. */
  <T> void sendIfReachable(String box, PeerMessageType<T> type, T message) {
    network
        .connect(address(box), CONNECT_TIMEOUT)
        .subscribe(
            ignored -> {},
            failure -> Logger.debug(failure, "{} was not told {}", box, type.name()),
            () -> {
              markUsed(box);
              network.tell(box, type, message);
            });
  }

  /** Asks a box, over a new connection if there is none; the limit counts from then on. */
  <T, A> Mono<A> request(
      String box, PeerMessageType<T> type, T message, Class<A> answerType, Duration limit) {
    markUsed(box);
    return network
        .connect(address(box), limit.compareTo(CONNECT_TIMEOUT) < 0 ? limit : CONNECT_TIMEOUT)
        .then(network.ask(box, type, message, answerType, limit));
  }

  private static PeerAddress address(String box) {
    int colon = box.lastIndexOf(':');
    return new PeerAddress(
        box, 0, box.substring(0, colon), Integer.parseInt(box.substring(colon + 1)));
  }
}
