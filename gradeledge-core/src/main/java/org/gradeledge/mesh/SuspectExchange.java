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
 * Brings what boxes know of requests that end upstreams to all of them. What is new goes out at
 * once, the way that heartbeats go: to all among few boxes, over relays among many. What did not
 * arrive, as a box has just started or was cut off, is noticed by a number in each heartbeat that
 * differs where two boxes do not know the same, and then each tells the other all that it knows.
 * Confined to the event loop.
 */
final class SuspectExchange {

  /**
   * Two boxes that differ need one message each way; a busy one takes some hundred milliseconds.
   */
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

  /** An upstream takes many requests along, and all are heard of in one turn: one message. */
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

  /** Takes in what a box tells; among many boxes what is new is passed on. */
  void receive(SuspectUpdate news) {
    SuspectUpdate changed = quarantine.merge(news);
    if (routes.usesRelays()) {
      broadcast(changed);
    }
  }

  private void broadcast(SuspectUpdate news) {
    if (news.isEmpty()) {
      return;
    }
    if (!routes.usesRelays()) {
      network.tellAll(MeshMessages.SUSPECTS, news);
      return;
    }
    network.tellEach(sender.forwardingRecipients(), MeshMessages.SUSPECTS, news);
  }

  /** Hears from a connected box by its own heartbeat what it knows, as a number. */
  void compareDigest(String box, long digest) {
    if (digest == quarantine.digest()) {
      return;
    }
    long now = clock.nanos();
    Long last = lastSentNanos.get(box);
    if (last == null || now - last > RESEND_INTERVAL_NANOS) {
      lastSentNanos.put(box, now);
      network.tell(box, MeshMessages.SUSPECTS, quarantine.snapshot());
    }
  }

  /** Forgets a box that is lost. */
  void removeBox(String box) {
    lastSentNanos.remove(box);
  }
}
