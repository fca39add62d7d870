package org.gradeledge.mesh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.gradeledge.time.MonotonicClock;

/**
 * Stores the latest heartbeat of each box and creates digests of them. A box relays for the boxes
 * that requested it recently, so boxes do not have to agree on the relays. Confined to the event
 * loop.
 */
final class HeartbeatRelay {

  /**
   * Age difference below which two heartbeats without sequence numbers, from older versions, count
   * as the same heartbeat received over two relays.
   */
  private static final long MIN_AGE_DIFFERENCE_MILLIS = 60;

  private static final long NO_SEQUENCE_NUMBER = 0;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private record ReceivedHeartbeat(Heartbeat heartbeat, long receivedNanos) {}

  private final String self;
  private final MonotonicClock clock;
  private final Map<String, ReceivedHeartbeat> latest = new HashMap<>();
  private final Map<String, Long> relayRequestedNanos = new HashMap<>();

  /** Kept when a box is lost, so that a delayed copy of its last heartbeat does not revive it. */
  private final Map<String, Long> latestSequenceNumbers = new HashMap<>();

  HeartbeatRelay(String self, MonotonicClock clock) {
    this.self = self;
    this.clock = clock;
  }

  /** Records a heartbeat that a box sent directly. */
  void receive(String box, Heartbeat heartbeat) {
    long now = clock.nanos();
    store(box, heartbeat, now);
    if (heartbeat.relayRequested()) {
      relayRequestedNanos.put(box, now);
    }
  }

  /** Records the heartbeats of a digest that are newer than the stored ones, and returns them. */
  List<DigestEntry> acceptNewer(Digest digest) {
    return digest.entries().stream()
        .filter(entry -> !entry.box().equals(self))
        .filter(this::acceptIfNewer)
        .toList();
  }

  private boolean acceptIfNewer(DigestEntry entry) {
    long receivedNanos = clock.nanos() - entry.ageMillis() * NANOS_PER_MILLI;
    boolean newer = isNewer(entry, receivedNanos);
    if (newer) {
      store(entry.box(), entry.heartbeat(), receivedNanos);
    }
    return newer;
  }

  /**
   * Compares sequence numbers if possible. The age does not include transmission time, so a
   * heartbeat that circulates would look newer each time.
   */
  private boolean isNewer(DigestEntry entry, long receivedNanos) {
    Long latestNumber = latestSequenceNumbers.get(entry.box());
    if (latestNumber != null && entry.heartbeat().sequenceNumber() != NO_SEQUENCE_NUMBER) {
      return entry.heartbeat().sequenceNumber() > latestNumber;
    }
    ReceivedHeartbeat stored = latest.get(entry.box());
    return stored == null
        || receivedNanos - stored.receivedNanos() >= MIN_AGE_DIFFERENCE_MILLIS * NANOS_PER_MILLI;
  }

  private void store(String box, Heartbeat heartbeat, long receivedNanos) {
    latest.put(box, new ReceivedHeartbeat(heartbeat, receivedNanos));
    if (heartbeat.sequenceNumber() != NO_SEQUENCE_NUMBER) {
      latestSequenceNumbers.put(box, heartbeat.sequenceNumber());
    }
  }

  void removeBox(String box) {
    latest.remove(box);
    relayRequestedNanos.remove(box);
  }

  /** Returns the boxes that requested relaying within the given time. */
  Set<String> relayedBoxes(long windowMillis) {
    long since = clock.nanos() - windowMillis * NANOS_PER_MILLI;
    relayRequestedNanos.values().removeIf(requested -> requested - since < 0);
    return Set.copyOf(relayRequestedNanos.keySet());
  }

  /** Returns a digest of all boxes, including the own heartbeat. */
  Digest digestOfAll(Heartbeat own) {
    return digest(own, box -> true);
  }

  /** Returns a digest of the given boxes, including the own heartbeat. */
  Digest digestOf(Collection<String> boxes, Heartbeat own) {
    return digest(own, boxes::contains);
  }

  private Digest digest(Heartbeat own, Predicate<String> included) {
    long now = clock.nanos();
    List<DigestEntry> entries = new ArrayList<>();
    entries.add(new DigestEntry(self, 0, own));
    latest.forEach(
        (box, received) -> {
          if (included.test(box)) {
            long age = (now - received.receivedNanos()) / NANOS_PER_MILLI;
            entries.add(new DigestEntry(box, age, received.heartbeat()));
          }
        });
    return new Digest(entries);
  }
}
