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
 * Sends the heartbeats of this box, and digests to the boxes that requested relaying. Confined to
 * the event loop.
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
      MeshConnections connections,
      Supplier<Heartbeat> ownHeartbeat) {
    this.network = network;
    this.connections = connections;
    this.loop = loop;
    this.clock = clock;
    this.peers = peers;
    this.routes = routes;
    this.relay = relay;
    this.ownHeartbeat = ownHeartbeat;
    this.lastDigestNanos = clock.nanos() - DIGEST_TIMEOUT.toNanos();
  }

  /** Returns the interval between heartbeats. */
  long intervalMillis() {
    return routes.usesRelays() ? RELAYED_INTERVAL_MILLIS : DIRECT_INTERVAL_MILLIS;
  }

  /** Returns the time after which a box that sends no heartbeat counts as lost. */
  long timeoutMillis() {
    return intervalMillis() * (routes.usesRelays() ? RELAYED_MISSED_LIMIT : DIRECT_MISSED_LIMIT);
  }

  /** Sends the heartbeat and, if due, the digests of this interval. */
  void sendScheduled() {
    heartbeatCount++;
    sendHeartbeat();
    if (routes.usesRelays() && isDigestDue()) {
      sendDigests();
    }
  }

  void sendHeartbeat() {
    Heartbeat heartbeat = ownHeartbeat.get();
    if (!routes.usesRelays()) {
      network.sendToAll(MeshMessages.HEARTBEAT, heartbeat.withBoxes(List.copyOf(peers.alive())));
      return;
    }
    if (!receivesDigests() && isDigestDue()) {
      network.sendToAll(MeshMessages.HEARTBEAT, heartbeat);
    }
    network.sendToEach(
        routes.localRelays(), MeshMessages.HEARTBEAT, heartbeat.withRelayRequested());
  }

  /**
   * Sends digests shortly, without waiting for the next regular ones, if heartbeats are relayed.
   */
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

  /** Sends a digest of all boxes to a box that has just started, if heartbeats are relayed. */
  void sendIntroduction(String box) {
    long now = clock.nanos();
    long last = lastIntroductionNanos.getOrDefault(box, now - INTRODUCTION_INTERVAL.toNanos());
    if (routes.usesRelays() && now - last >= INTRODUCTION_INTERVAL.toNanos()) {
      lastIntroductionNanos.put(box, now);
      connections.sendIfReachable(box, MeshMessages.DIGEST, relay.digestOfAll(ownHeartbeat.get()));
    }
  }

  /**
   * Tries to connect to a lost box and sends it a digest of all boxes, in case it has restarted or
   * a network partition has ended.
   */
  void tryReconnect(String box) {
    connections.sendIfReachable(box, MeshMessages.DIGEST, relay.digestOfAll(ownHeartbeat.get()));
  }

  /**
   * Returns the boxes to connect with for relayed heartbeats. A relay also requires connections to
   * the relays of other zones.
   */
  Set<String> requiredConnections() {
    Set<String> clients = relayedBoxes();
    Set<String> boxes = new HashSet<>(routes.localCandidates());
    boxes.addAll(clients);
    if (sendsToOtherZones(clients)) {
      boxes.addAll(routes.remoteCandidates());
    }
    return boxes;
  }

  /** Returns the boxes to which records are forwarded where heartbeats are relayed. */
  Set<String> forwardingRecipients() {
    Set<String> clients = relayedBoxes();
    Set<String> boxes = new HashSet<>(routes.localRelays());
    boxes.addAll(clients);
    if (sendsToOtherZones(clients)) {
      boxes.addAll(routes.remoteRelays());
    }
    return boxes;
  }

  private Set<String> relayedBoxes() {
    return relay.relayedBoxes(timeoutMillis());
  }

  private boolean sendsToOtherZones(Set<String> clients) {
    return !clients.isEmpty() || routes.isRelay();
  }

  void recordDigest() {
    lastDigestNanos = clock.nanos();
  }

  /** Returns whether heartbeats are relayed and this box receives them in digests. */
  boolean receivesDigests() {
    return routes.usesRelays() && clock.nanos() - lastDigestNanos < DIGEST_TIMEOUT.toNanos();
  }

  private boolean isDigestDue() {
    return heartbeatCount % HEARTBEATS_PER_DIGEST == 0;
  }

  private void sendDigests() {
    Set<String> clients = relayedBoxes();
    Heartbeat heartbeat = ownHeartbeat.get();
    if (!clients.isEmpty()) {
      network.sendToEach(clients, MeshMessages.DIGEST, relay.digestOfAll(heartbeat));
    }
    if (sendsToOtherZones(clients)) {
      network.sendToEach(
          routes.remoteRelays(), MeshMessages.DIGEST, relay.digestOf(clients, heartbeat));
    }
  }
}
