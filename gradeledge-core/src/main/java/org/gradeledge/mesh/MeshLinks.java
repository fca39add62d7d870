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
final class MeshLinks {

  /** Longer than the pauses of steady traffic, so that what is used is not opened again. */
  private static final Duration REST = Duration.ofSeconds(10);

  /** A busy box takes a few tens of milliseconds for both greetings; work must not wait longer. */
  private static final Duration OPENING_LIMIT = Duration.ofMillis(500);

  private final PeerNetwork network;
  private final MonotonicClock clock;
  private final Map<String, Long> usedNanos = new HashMap<>();

  MeshLinks(PeerNetwork network, MonotonicClock clock) {
    this.network = network;
    this.clock = clock;
  }

  /** Notes that boxes are needed; connections with them stay up for a while. */
  void use(Collection<String> boxes) {
    long now = clock.nanos();
    boxes.forEach(box -> usedNanos.put(box, now));
  }

  /** Notes that a box is needed. */
  void use(String box) {
    use(List.of(box));
  }

  /** Forgets a box that is lost; a connection with it that may have gone silent is closed. */
  void lost(String box) {
    usedNanos.remove(box);
    network.disconnect(box);
  }

  /** Keeps up the connections that are needed, and some more boxes' just now. */
  void keepUp(Collection<String> more) {
    long since = clock.nanos() - REST.toNanos();
    usedNanos.values().removeIf(used -> used - since < 0);
    Set<String> wanted = new HashSet<>(usedNanos.keySet());
    wanted.addAll(more);
    network.keepUp(wanted.stream().map(MeshLinks::address).toList());
  }

  /** Returns whether the last dial of a box came to nothing. */
  boolean isUnreachable(String box) {
    return network.isUnreachable(address(box));
  }

  /** Sends a message, over a new connection if there is none. */
  <T> void tell(String box, PeerMessageType<T> type, T message) {
    use(box);
    tellIfReached(box, type, message);
  }

  /** As {@link #tell}, but a box that cannot be reached is not dialed again for it. */
  <T> void tellIfReached(String box, PeerMessageType<T> type, T message) {
    network
        .connect(address(box), OPENING_LIMIT)
        .subscribe(
            ignored -> {},
            failure -> Logger.debug(failure, "{} was not told {}", box, type.name()),
            () -> {
              use(box);
              network.tell(box, type, message);
            });
  }

  /** Asks a box, over a new connection if there is none; the limit counts from then on. */
  <T, A> Mono<A> ask(
      String box, PeerMessageType<T> type, T message, Class<A> answerType, Duration limit) {
    use(box);
    return network
        .connect(address(box), limit.compareTo(OPENING_LIMIT) < 0 ? limit : OPENING_LIMIT)
        .then(network.ask(box, type, message, answerType, limit));
  }

  private static PeerAddress address(String box) {
    int colon = box.lastIndexOf(':');
    return new PeerAddress(
        box, 0, box.substring(0, colon), Integer.parseInt(box.substring(colon + 1)));
  }
}
