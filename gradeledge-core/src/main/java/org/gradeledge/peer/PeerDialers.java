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

  private final Function<PeerAddress, Optional<PeerConnection>> open;
  private final Function<PeerAddress, Mono<Void>> dial;
  private final Scheduler scheduler;
  private final Map<PeerAddress, PeerDialer> byPeer = new ConcurrentHashMap<>();
  private final Map<String, Sinks.Empty<Void>> awaitingOpen = new ConcurrentHashMap<>();
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
    this.open = open;
    this.dial = dial;
    this.scheduler = scheduler;
  }

  /** Keeps up connections with some peers; returns those that none is kept up with any more. */
  synchronized List<PeerAddress> keepUp(Collection<PeerAddress> peers) {
    Set<PeerAddress> wanted = stopped ? Set.of() : Set.copyOf(peers);
    List<PeerAddress> unwanted =
        byPeer.keySet().stream().filter(address -> !wanted.contains(address)).toList();
    unwanted.forEach(address -> byPeer.remove(address).dispose());
    wanted.forEach(this::dialer);
    return unwanted;
  }

  /** Keeps up no connection and dials nobody from now on. */
  synchronized void stop() {
    stopped = true;
    byPeer.values().forEach(PeerDialer::dispose);
    byPeer.clear();
  }

  /** Completes once a peer is connected; see {@link PeerNetwork#connect}. */
  Mono<Void> connect(PeerAddress peer, Duration limit) {
    return Mono.defer(() -> open.apply(peer).isPresent() ? Mono.empty() : opening(peer, limit));
  }

  private Mono<Void> opening(PeerAddress peer, Duration limit) {
    if (stopped) {
      return Mono.error(PeerException.notConnected(peer.boxId()));
    }
    Sinks.Empty<Void> opening = awaitingOpen.computeIfAbsent(peer.boxId(), id -> Sinks.empty());
    if (!dialer(peer).isDialing()) {
      dialEnded(peer);
    }
    return opening
        .asMono()
        .timeout(limit, Mono.error(() -> PeerException.notConnected(peer.boxId())), scheduler);
  }

  /** Returns whether the last dial of a peer came to nothing; it is dialed again meanwhile. */
  boolean isUnreachable(PeerAddress peer) {
    return Optional.ofNullable(byPeer.get(peer)).filter(PeerDialer::hasFailed).isPresent();
  }

  /** Notes that a connection to a peer is open, whichever side has dialed it. */
  synchronized void opened(String boxId) {
    byPeer.forEach((peer, dialer) -> noteOpened(peer, dialer, boxId));
    Optional.ofNullable(awaitingOpen.remove(boxId)).ifPresent(Sinks.Empty::tryEmitEmpty);
  }

  private static void noteOpened(PeerAddress peer, PeerDialer dialer, String boxId) {
    if (peer.boxId().equals(boxId)) {
      dialer.opened();
    }
  }

  private synchronized PeerDialer dialer(PeerAddress peer) {
    PeerDialer existing = byPeer.get(peer);
    if (existing != null) {
      return existing;
    }
    PeerDialer dialer =
        new PeerDialer(
            peer, () -> open.apply(peer), () -> dial.apply(peer), scheduler, () -> dialEnded(peer));
    byPeer.put(peer, dialer);
    return dialer;
  }

  private void dialEnded(PeerAddress peer) {
    if (open.apply(peer).isEmpty()) {
      Optional.ofNullable(awaitingOpen.remove(peer.boxId()))
          .ifPresent(opening -> opening.tryEmitError(PeerException.notConnected(peer.boxId())));
    }
  }
}
