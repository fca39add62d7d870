package org.gradeledge.peer;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/** The peers that a box keeps up connections with, and who waits for one to open. Thread-safe. */
final class PeerDialers {

  private final Function<PeerAddress, Optional<PeerConnection>> openConnection;
  private final Function<PeerAddress, Mono<Void>> dial;
  private final Scheduler scheduler;
  private final Map<PeerAddress, PeerDialer> dialersByPeer = new ConcurrentHashMap<>();
  private final Map<String, Sinks.Empty<Void>> pendingConnections = new ConcurrentHashMap<>();
  private volatile boolean stopped;

  /**
   * Creates it without peers.
   *
   * @param open the connection to a peer that is open now
   * @param dial dials a peer; completes once the connection has ended
   * @param scheduler where pauses between dials and time-outs run
   */
  PeerDialers(
      Function<PeerAddress, Optional<PeerConnection>> open,
      Function<PeerAddress, Mono<Void>> dial,
      Scheduler scheduler) {
    this.openConnection = open;
    this.dial = dial;
    this.scheduler = scheduler;
  }

  /** Keeps up connections with some peers; returns those that none is kept up with any more. */
  synchronized List<PeerAddress> maintainConnections(Collection<PeerAddress> peers) {
    Set<PeerAddress> wanted = stopped ? Set.of() : Set.copyOf(peers);
    List<PeerAddress> unwanted =
        dialersByPeer.keySet().stream().filter(address -> !wanted.contains(address)).toList();
    unwanted.forEach(address -> dialersByPeer.remove(address).dispose());
    wanted.forEach(this::getOrCreateDialer);
    return unwanted;
  }

  /** Keeps up no connection and dials nobody from now on. */
  synchronized void stop() {
    stopped = true;
    dialersByPeer.values().forEach(PeerDialer::dispose);
    dialersByPeer.clear();
  }

  /** Completes once a peer is connected; see {@link PeerNetwork#connect}. */
  Mono<Void> connect(PeerAddress peer, Duration limit) {
    return Mono.defer(
        () -> openConnection.apply(peer).isPresent() ? Mono.empty() : awaitConnection(peer, limit));
  }

  private Mono<Void> awaitConnection(PeerAddress peer, Duration limit) {
    if (stopped) {
      return Mono.error(PeerException.notConnected(peer.boxId()));
    }
    Sinks.Empty<Void> opening =
        pendingConnections.computeIfAbsent(peer.boxId(), id -> Sinks.empty());
    if (!getOrCreateDialer(peer).isDialing()) {
      failIfNotConnected(peer);
    }
    return opening
        .asMono()
        .timeout(limit, Mono.error(() -> PeerException.notConnected(peer.boxId())), scheduler);
  }

  /** Returns whether the last dial of a peer came to nothing; it is dialed again meanwhile. */
  boolean isUnreachable(PeerAddress peer) {
    return Optional.ofNullable(dialersByPeer.get(peer)).filter(PeerDialer::hasFailed).isPresent();
  }

  /** Notes that a connection to a peer is open, whichever side has dialed it. */
  synchronized void connectionOpened(String boxId) {
    dialersByPeer.forEach((peer, dialer) -> markOpened(peer, dialer, boxId));
    Optional.ofNullable(pendingConnections.remove(boxId)).ifPresent(Sinks.Empty::tryEmitEmpty);
  }

  private static void markOpened(PeerAddress peer, PeerDialer dialer, String boxId) {
    if (peer.boxId().equals(boxId)) {
      dialer.connectionOpened();
    }
  }

  private synchronized PeerDialer getOrCreateDialer(PeerAddress peer) {
    PeerDialer existing = dialersByPeer.get(peer);
    if (existing != null) {
      return existing;
    }
    PeerDialer dialer =
        new PeerDialer(
            peer,
            () -> openConnection.apply(peer),
            () -> dial.apply(peer),
            scheduler,
            () -> failIfNotConnected(peer));
    dialersByPeer.put(peer, dialer);
    return dialer;
  }

  private void failIfNotConnected(PeerAddress peer) {
    if (openConnection.apply(peer).isEmpty()) {
      Optional.ofNullable(pendingConnections.remove(peer.boxId()))
          .ifPresent(opening -> opening.tryEmitError(PeerException.notConnected(peer.boxId())));
    }
  }
}
