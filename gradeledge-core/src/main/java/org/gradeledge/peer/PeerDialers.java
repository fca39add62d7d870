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

/** Maintains the connections to a set of peers by one {@link PeerDialer} each. Thread-safe. */
final class PeerDialers {

  private final Function<PeerAddress, Optional<PeerConnection>> openConnection;
  private final Function<PeerAddress, Mono<Void>> dial;
  private final Scheduler scheduler;
  private final Map<PeerAddress, PeerDialer> dialersByPeer = new ConcurrentHashMap<>();
  private final Map<String, Sinks.Empty<Void>> pendingConnections = new ConcurrentHashMap<>();
  private volatile boolean stopped;

  /**
   * Creates an instance without peers.
   *
   * @param openConnection returns the open connection to a peer, if any
   * @param dial dials a peer; completes once the connection is closed
   * @param scheduler scheduler of backoff and timeouts
   */
  PeerDialers(
      Function<PeerAddress, Optional<PeerConnection>> openConnection,
      Function<PeerAddress, Mono<Void>> dial,
      Scheduler scheduler) {
    this.openConnection = openConnection;
    this.dial = dial;
    this.scheduler = scheduler;
  }

  /** Sets the peers to maintain connections with; returns those that were removed. */
  synchronized List<PeerAddress> maintainConnections(Collection<PeerAddress> peers) {
    Set<PeerAddress> newPeers = stopped ? Set.of() : Set.copyOf(peers);
    List<PeerAddress> removedPeers =
        dialersByPeer.keySet().stream().filter(address -> !newPeers.contains(address)).toList();
    removedPeers.forEach(address -> dialersByPeer.remove(address).dispose());
    newPeers.forEach(this::getOrCreateDialer);
    return removedPeers;
  }

  /** Stops dialing for good. */
  synchronized void stop() {
    stopped = true;
    dialersByPeer.values().forEach(PeerDialer::dispose);
    dialersByPeer.clear();
  }

  /** Completes once a peer is connected; see {@link PeerNetwork#connect}. */
  Mono<Void> connect(PeerAddress peer, Duration timeout) {
    return Mono.defer(
        () ->
            openConnection.apply(peer).isPresent() ? Mono.empty() : awaitConnection(peer, timeout));
  }

  private Mono<Void> awaitConnection(PeerAddress peer, Duration timeout) {
    if (stopped) {
      return Mono.error(PeerException.notConnected(peer.boxId()));
    }
    Sinks.Empty<Void> connected =
        pendingConnections.computeIfAbsent(peer.boxId(), id -> Sinks.empty());
    if (!getOrCreateDialer(peer).isDialing()) {
      failIfNotConnected(peer);
    }
    return connected
        .asMono()
        .timeout(timeout, Mono.error(() -> PeerException.notConnected(peer.boxId())), scheduler);
  }

  /** Returns whether the last dial of a peer failed; dialing continues nonetheless. */
  boolean isUnreachable(PeerAddress peer) {
    return Optional.ofNullable(dialersByPeer.get(peer)).filter(PeerDialer::hasFailed).isPresent();
  }

  /** Called once a connection to a peer is open, whichever side dialed it. */
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
          .ifPresent(connected -> connected.tryEmitError(PeerException.notConnected(peer.boxId())));
    }
  }
}
