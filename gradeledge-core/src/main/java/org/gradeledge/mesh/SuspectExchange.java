package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.SuspectUpdate;
import org.gradeledge.time.MonotonicClock;

/**
 * Distributes records of requests that crash upstreams to all boxes. New records are sent at once,
 * to all boxes or over relays like heartbeats. Records that were missed are detected by the digest
 * in each heartbeat: boxes whose digests differ send each other all their records. Confined to the
 * event loop.
 */
final class SuspectExchange {

  /** Minimum time between full sets of records sent to the same box. */
  private static final long RESEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private final Quarantine quarantine;
  private final PeerNetwork network;
  private final HeartbeatRoutes routes;
  private final HeartbeatSender sender;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Map<String, Long> lastSentNanos = new HashMap<>();
  private boolean sendScheduled;

  SuspectExchange(
      Quarantine quarantine,
      PeerNetwork network,
      HeartbeatRoutes routes,
      HeartbeatSender sender,
      EventLoop loop,
      MonotonicClock clock) {
    this.quarantine = quarantine;
    this.network = network;
    this.routes = routes;
    this.sender = sender;
    this.loop = loop;
    this.clock = clock;
    quarantine.onUpdate(this::scheduleSend);
  }

  /**
   * Combines the records of one event loop turn in one message, as a crash affects many requests.
   */
  private void scheduleSend() {
    if (!sendScheduled) {
      sendScheduled = true;
      loop.execute(this::sendPending);
    }
  }

  private void sendPending() {
    sendScheduled = false;
    broadcast(quarantine.takeUpdate());
  }

  /** Merges records of another box, and forwards the new ones where heartbeats are relayed. */
  void receive(SuspectUpdate records) {
    SuspectUpdate changed = quarantine.merge(records);
    if (routes.usesRelays()) {
      broadcast(changed);
    }
  }

  private void broadcast(SuspectUpdate records) {
    if (records.isEmpty()) {
      return;
    }
    if (!routes.usesRelays()) {
      network.sendToAll(MeshMessages.SUSPECTS, records);
      return;
    }
    network.sendToEach(sender.forwardingRecipients(), MeshMessages.SUSPECTS, records);
  }

  /** Compares the digest in the heartbeat of a connected box with the own one. */
  void compareDigest(String box, long digest) {
    if (digest == quarantine.digest()) {
      return;
    }
    long now = clock.nanos();
    Long last = lastSentNanos.get(box);
    if (last == null || now - last > RESEND_INTERVAL_NANOS) {
      lastSentNanos.put(box, now);
      network.send(box, MeshMessages.SUSPECTS, quarantine.snapshot());
    }
  }

  void removeBox(String box) {
    lastSentNanos.remove(box);
  }
}
