package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.time.MonotonicClock;

/**
 * Sends the own heartbeats to whom they are due, and digests to those that asked for them. Confined
 * to the event loop.
 */
final class HeartbeatSender {

  private static final long DIRECT_INTERVAL_MILLIS = 200;
  private static final int DIRECT_MISSED_LIMIT = 5;
  private static final long RELAYED_INTERVAL_MILLIS = 400;
  private static final int RELAYED_MISSED_LIMIT = 10;
  private static final int HEARTBEATS_PER_DIGEST = 3;
  private static final Duration DIGEST_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration INTRODUCTION_INTERVAL = Duration.ofSeconds(1);
  private static final long DIGEST_DELAY_MILLIS = 50;

  private final PeerNetwork network;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final PeerTable peers;
  private final HeartbeatRoutes routes;
  private final HeartbeatRelay relay;
  private final Supplier<Heartbeat> ownHeartbeat;
  private final MeshConnections connections;
  private final Map<String, Long> lastIntroductionNanos = new HashMap<>();
  private long lastDigestNanos;
  private long heartbeatCount;
  private boolean digestScheduled;

  HeartbeatSender(
      PeerNetwork network,
      EventLoop loop,
      MonotonicClock clock,
      PeerTable peers,
      HeartbeatRoutes routes,
      HeartbeatRelay relay,
      MeshConnections links,
      Supplier<Heartbeat> own) {
    this.network = network;
    this.connections = links;
    this.loop = loop;
    this.clock = clock;
    this.peers = peers;
    this.routes = routes;
    this.relay = relay;
    this.ownHeartbeat = own;
    this.lastDigestNanos = clock.nanos() - DIGEST_TIMEOUT.toNanos();
  }

  /** Returns the time between heartbeats. */
  long intervalMillis() {
    return routes.usesRelays() ? RELAYED_INTERVAL_MILLIS : DIRECT_INTERVAL_MILLIS;
  }

  /** Returns after how long a box that is not heard counts as lost. */
  long timeoutMillis() {
    return intervalMillis() * (routes.usesRelays() ? RELAYED_MISSED_LIMIT : DIRECT_MISSED_LIMIT);
  }

  /** Sends what is due at each heartbeat. */
  void sendScheduled() {
    heartbeatCount++;
    sendHeartbeat();
    if (routes.usesRelays() && isDigestDue()) {
      sendDigests();
    }
  }

  /** Sends the own heartbeat. */
  void sendHeartbeat() {
    Heartbeat beat = ownHeartbeat.get();
    if (!routes.usesRelays()) {
      network.tellAll(MeshMessages.HEARTBEAT, beat.withBoxes(List.copyOf(peers.alive())));
      return;
    }
    if (!receivesDigests() && isDigestDue()) {
      network.tellAll(MeshMessages.HEARTBEAT, beat);
    }
    network.tellEach(routes.localRelays(), MeshMessages.HEARTBEAT, beat.withRelayRequested());
  }

  /** Sends digests without waiting for their turn, if there are enough boxes for them. */
  void scheduleDigests() {
    if (routes.usesRelays() && !digestScheduled) {
      digestScheduled = true;
      loop.schedule(this::sendScheduledDigests, DIGEST_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void sendScheduledDigests() {
    digestScheduled = false;
    sendDigests();
  }

  /**
   * Tells a box that knows few others of all that are there, if there are many: it has just
   * started, and hears nobody who does not hear it.
   */
  void sendIntroduction(String box) {
    long now = clock.nanos();
    long last = lastIntroductionNanos.getOrDefault(box, now - INTRODUCTION_INTERVAL.toNanos());
    if (routes.usesRelays() && now - last >= INTRODUCTION_INTERVAL.toNanos()) {
      lastIntroductionNanos.put(box, now);
      connections.sendIfReachable(box, MeshMessages.DIGEST, relay.digestOfAll(ownHeartbeat.get()));
    }
  }

  /**
   * Tries to meet a box that is not heard, and tells it of all that are: it has come back, or two
   * parts of the deployment were cut from each other.
   */
  void tryReconnect(String box) {
    connections.sendIfReachable(box, MeshMessages.DIGEST, relay.digestOfAll(ownHeartbeat.get()));
  }

  /**
   * Returns the boxes to be connected with for heartbeats, where there are many. A box that others
   * asked to relay, or that ranks among the relays of its zone, needs those of other zones too.
   */
  Set<String> requiredConnections() {
    Set<String> flock = relayedBoxes();
    Set<String> boxes = new HashSet<>(routes.localCandidates());
    boxes.addAll(flock);
    if (sendsToOtherZones(flock)) {
      boxes.addAll(routes.remoteCandidates());
    }
    return boxes;
  }

  /** Returns whom news goes to, where there are many boxes and each passes on what is new to it. */
  Set<String> forwardingRecipients() {
    Set<String> flock = relayedBoxes();
    Set<String> boxes = new HashSet<>(routes.localRelays());
    boxes.addAll(flock);
    if (sendsToOtherZones(flock)) {
      boxes.addAll(routes.remoteRelays());
    }
    return boxes;
  }

  /** Returns the boxes that this one passes heartbeats on for. */
  private Set<String> relayedBoxes() {
    return relay.relayedBoxes(timeoutMillis());
  }

  private boolean sendsToOtherZones(Set<String> flock) {
    return !flock.isEmpty() || routes.isRelay();
  }

  /** Notes that a digest has come. */
  void recordDigest() {
    lastDigestNanos = clock.nanos();
  }

  /** Returns whether there are many boxes and this one hears of them by digests. */
  boolean receivesDigests() {
    return routes.usesRelays() && clock.nanos() - lastDigestNanos < DIGEST_TIMEOUT.toNanos();
  }

  private boolean isDigestDue() {
    return heartbeatCount % HEARTBEATS_PER_DIGEST == 0;
  }

  private void sendDigests() {
    Set<String> flock = relayedBoxes();
    Heartbeat beat = ownHeartbeat.get();
    if (!flock.isEmpty()) {
      network.tellEach(flock, MeshMessages.DIGEST, relay.digestOfAll(beat));
    }
    if (sendsToOtherZones(flock)) {
      network.tellEach(routes.remoteRelays(), MeshMessages.DIGEST, relay.digestOf(flock, beat));
    }
  }
}
