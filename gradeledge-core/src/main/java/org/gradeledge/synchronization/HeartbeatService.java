package org.gradeledge.synchronization;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.gradeledge.change.VersionFetcher;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.membership.Membership;
import org.gradeledge.peer.PeerIdentity;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.routing.UpstreamDirectory;
import org.gradeledge.routing.UpstreamState;
import org.gradeledge.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends heartbeats and takes them in: confirmations, versions, and upstreams that leave.
 *
 * <p>A peer's confirmation counts only once this box has every version that the peer has, so that a
 * box whose confirmation had lapsed never serves an old version. Thread-safe.
 *
 * @since 0.1
 */
public final class HeartbeatService {

  private final PeerNetwork peers;
  private final Membership membership;
  private final ConfigurationRegistry registry;
  private final VersionFetcher fetcher;
  private final UpstreamDirectory upstreams;
  private final MonotonicClock clock;
  private final Map<String, Heartbeat> lastHeartbeats = new ConcurrentHashMap<>();

  /** Creates the service; it takes heartbeats in from now on. */
  public HeartbeatService(
      PeerNetwork peers,
      Membership membership,
      ConfigurationRegistry registry,
      VersionFetcher fetcher,
      UpstreamDirectory upstreams,
      MonotonicClock clock) {
    this.peers = peers;
    this.membership = membership;
    this.registry = registry;
    this.fetcher = fetcher;
    this.upstreams = upstreams;
    this.clock = clock;
    peers.register(Heartbeat.TYPE, this::receive);
  }

  /** Sends one heartbeat to each connected peer. */
  public void sendAll() {
    boolean serving = membership.isConfirmed();
    Map<String, Long> versions = registry.activeVersionNumbers();
    List<Heartbeat.LeavingUpstream> leaving = leavingUpstreams();
    peers
        .connectedPeers()
        .forEach(
            peer -> {
              boolean confirms =
                  serving && membership.members().isActiveMember(peer.boxId(), peer.incarnation());
              Heartbeat heartbeat =
                  new Heartbeat(
                      new Heartbeat.Stamp(membership.incarnation(), clock.nanos()),
                      Optional.ofNullable(lastHeartbeats.get(peer.boxId())).map(Heartbeat::sent),
                      serving,
                      confirms,
                      versions,
                      leaving);
              peers.send(peer.boxId(), Heartbeat.TYPE, heartbeat);
            });
  }

  /** Returns the last heartbeat of each peer that is connected. */
  public Map<String, Heartbeat> lastByPeer() {
    List<String> connected = peers.connectedPeers().stream().map(PeerIdentity::boxId).toList();
    lastHeartbeats.keySet().retainAll(connected);
    return Map.copyOf(lastHeartbeats);
  }

  private Mono<Void> receive(PeerIdentity from, Heartbeat heartbeat) {
    lastHeartbeats.put(from.boxId(), heartbeat);
    heartbeat.leaving().forEach(this::markLeaving);
    return Flux.fromIterable(heartbeat.versions().entrySet())
        .concatMap(
            version -> fetcher.installFromPeer(from.boxId(), version.getKey(), version.getValue()))
        .then(
            Mono.fromRunnable(
                () -> {
                  if (heartbeat.confirms()) {
                    heartbeat.echo().ifPresent(this::confirmMembership);
                  }
                }));
  }

  /**
   * A heartbeat says nothing of when it was sent: a box that was frozen finds old ones waiting. The
   * stamp that it brings back does, since the peer had it before it sent.
   */
  private void confirmMembership(Heartbeat.Stamp echo) {
    membership.recordConfirmation(echo.incarnation(), echo.nanos());
  }

  private void markLeaving(Heartbeat.LeavingUpstream leaving) {
    upstreams
        .findByAddress(leaving.host(), leaving.port())
        .ifPresent(state -> state.markLeaving(leaving.incarnation()));
  }

  private List<Heartbeat.LeavingUpstream> leavingUpstreams() {
    return upstreams.all().stream()
        .filter(state -> state.leavingIncarnation().isPresent())
        .map(HeartbeatService::leavingUpstream)
        .toList();
  }

  private static Heartbeat.LeavingUpstream leavingUpstream(UpstreamState state) {
    return new Heartbeat.LeavingUpstream(
        state.definition().host(), state.definition().port(), state.leavingIncarnation().orElse(0));
  }
}
