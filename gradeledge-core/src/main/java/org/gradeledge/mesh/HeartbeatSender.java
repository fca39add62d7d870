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

  private static final long BEAT_MILLIS = 200;
  private static final int BEATS_TO_LOSE = 5;
  private static final long RELAYED_BEAT_MILLIS = 400;
  private static final int RELAYED_BEATS_TO_LOSE = 10;
  private static final int BEATS_OF_DIGEST = 3;
  private static final Duration DIGEST_SILENCE = Duration.ofSeconds(3);
  private static final Duration INTRODUCTION_PAUSE = Duration.ofSeconds(1);
  private static final long NEWS_DELAY_MILLIS = 50;

  private final PeerNetwork network;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final PeerBoard peers;
  private final HeartbeatRoutes routes;
  private final HeartbeatRelay relay;
  private final Supplier<Heartbeat> own;
  private final MeshLinks links;
  private final Map<String, Long> introducedNanos = new HashMap<>();
  private long digestNanos;
  private long beats;
  private boolean digestDue;

  HeartbeatSender(
      PeerNetwork network,
      EventLoop loop,
      MonotonicClock clock,
      PeerBoard peers,
      HeartbeatRoutes routes,
      HeartbeatRelay relay,
      MeshLinks links,
      Supplier<Heartbeat> own) {
    this.network = network;
    this.links = links;
    this.loop = loop;
    this.clock = clock;
    this.peers = peers;
    this.routes = routes;
    this.relay = relay;
    this.own = own;
    this.digestNanos = clock.nanos() - DIGEST_SILENCE.toNanos();
  }

  /** Returns the time between heartbeats. */
  long intervalMillis() {
    return routes.many() ? RELAYED_BEAT_MILLIS : BEAT_MILLIS;
  }

  /** Returns after how long a box that is not heard counts as lost. */
  long silenceMillis() {
    return intervalMillis() * (routes.many() ? RELAYED_BEATS_TO_LOSE : BEATS_TO_LOSE);
  }

  /** Sends what is due at each heartbeat. */
  void beat() {
    beats++;
    tell();
    if (routes.many() && digestTurn()) {
      tellDigests();
    }
  }

  /** Sends the own heartbeat. */
  void tell() {
    Heartbeat beat = own.get();
    if (!routes.many()) {
      network.tellAll(MeshMessages.HEARTBEAT, beat.withBoxes(List.copyOf(peers.alive())));
      return;
    }
    if (!hearsDigests() && digestTurn()) {
      network.tellAll(MeshMessages.HEARTBEAT, beat);
    }
    network.tellEach(routes.ownRelays(), MeshMessages.HEARTBEAT, beat.askingToRelay());
  }

  /** Sends digests without waiting for their turn, if there are enough boxes for them. */
  void tellDigestsSoon() {
    if (routes.many() && !digestDue) {
      digestDue = true;
      loop.schedule(this::tellDueDigests, NEWS_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void tellDueDigests() {
    digestDue = false;
    tellDigests();
  }

  /**
   * Tells a box that knows few others of all that are there, if there are many: it has just
   * started, and hears nobody who does not hear it.
   */
  void introduce(String box) {
    long now = clock.nanos();
    long last = introducedNanos.getOrDefault(box, now - INTRODUCTION_PAUSE.toNanos());
    if (routes.many() && now - last >= INTRODUCTION_PAUSE.toNanos()) {
      introducedNanos.put(box, now);
      links.tellIfReached(box, MeshMessages.DIGEST, relay.ofAll(own.get()));
    }
  }

  /**
   * Tries to meet a box that is not heard, and tells it of all that are: it has come back, or two
   * parts of the deployment were cut from each other.
   */
  void meet(String box) {
    links.tellIfReached(box, MeshMessages.DIGEST, relay.ofAll(own.get()));
  }

  /**
   * Returns the boxes to be connected with for heartbeats, where there are many. A box that others
   * asked to relay, or that ranks among the relays of its zone, needs those of other zones too.
   */
  Set<String> neighbours() {
    Set<String> flock = flock();
    Set<String> boxes = new HashSet<>(routes.ownCandidates());
    boxes.addAll(flock);
    if (speaksToOtherZones(flock)) {
      boxes.addAll(routes.foreignCandidates());
    }
    return boxes;
  }

  /** Returns whom news goes to, where there are many boxes and each passes on what is new to it. */
  Set<String> nextForNews() {
    Set<String> flock = flock();
    Set<String> boxes = new HashSet<>(routes.ownRelays());
    boxes.addAll(flock);
    if (speaksToOtherZones(flock)) {
      boxes.addAll(routes.foreignRelays());
    }
    return boxes;
  }

  /** Returns the boxes that this one passes heartbeats on for. */
  private Set<String> flock() {
    return relay.flock(silenceMillis());
  }

  private boolean speaksToOtherZones(Set<String> flock) {
    return !flock.isEmpty() || routes.isRelay();
  }

  /** Notes that a digest has come. */
  void heardDigest() {
    digestNanos = clock.nanos();
  }

  /** Returns whether there are many boxes and this one hears of them by digests. */
  boolean hearsDigests() {
    return routes.many() && clock.nanos() - digestNanos < DIGEST_SILENCE.toNanos();
  }

  private boolean digestTurn() {
    return beats % BEATS_OF_DIGEST == 0;
  }

  private void tellDigests() {
    Set<String> flock = flock();
    Heartbeat beat = own.get();
    if (!flock.isEmpty()) {
      network.tellEach(flock, MeshMessages.DIGEST, relay.ofAll(beat));
    }
    if (speaksToOtherZones(flock)) {
      network.tellEach(routes.foreignRelays(), MeshMessages.DIGEST, relay.of(flock, beat));
    }
  }
}
