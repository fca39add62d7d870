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
 * The heartbeats that a box knows and passes on. A box passes on for those that asked for it a
 * short while ago; so nobody has to agree on who relays. Confined to the event loop.
 */
final class HeartbeatRelay {

  /**
   * The same heartbeat that comes over two relays seems to differ in age by less than this. Only
   * for those of older boxes, which have no number.
   */
  private static final long MIN_AGE_DIFFERENCE_MILLIS = 60;

  private static final long NO_SEQUENCE_NUMBER = 0;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private record ReceivedHeartbeat(Heartbeat heartbeat, long receivedNanos) {}

  private final String self;
  private final MonotonicClock clock;
  private final Map<String, ReceivedHeartbeat> latest = new HashMap<>();
  private final Map<String, Long> relayRequestedNanos = new HashMap<>();

  /** Kept when a box is lost: its last heartbeat, still on its way, must not bring it back. */
  private final Map<String, Long> latestSequenceNumbers = new HashMap<>();

  HeartbeatRelay(String self, MonotonicClock clock) {
    this.self = self;
    this.clock = clock;
  }

  /** Takes in what a box told directly, and whether it asks for its heartbeats to be passed on. */
  void receive(String box, Heartbeat beat) {
    long now = clock.nanos();
    store(box, beat, now);
    if (beat.relayRequested()) {
      relayRequestedNanos.put(box, now);
    }
  }

  /** Takes a digest in; returns what is newer than what was known. */
  List<DigestEntry> acceptNewer(Digest digest) {
    return digest.entries().stream()
        .filter(entry -> !entry.box().equals(self))
        .filter(this::acceptIfNewer)
        .toList();
  }

  private boolean acceptIfNewer(DigestEntry entry) {
    long heardNanos = clock.nanos() - entry.ageMillis() * NANOS_PER_MILLI;
    boolean newer = isNewer(entry, heardNanos);
    if (newer) {
      store(entry.box(), entry.heartbeat(), heardNanos);
    }
    return newer;
  }

  /**
   * A number tells it for sure. An age is less by the time that each way takes, so that what goes
   * round on busy boxes would seem newer each time.
   */
  private boolean isNewer(DigestEntry entry, long heardNanos) {
    Long newest = latestSequenceNumbers.get(entry.box());
    if (newest != null && entry.heartbeat().sequenceNumber() != NO_SEQUENCE_NUMBER) {
      return entry.heartbeat().sequenceNumber() > newest;
    }
    ReceivedHeartbeat known = latest.get(entry.box());
    return known == null
        || heardNanos - known.receivedNanos() >= MIN_AGE_DIFFERENCE_MILLIS * NANOS_PER_MILLI;
  }

  private void store(String box, Heartbeat beat, long heardNanos) {
    latest.put(box, new ReceivedHeartbeat(beat, heardNanos));
    if (beat.sequenceNumber() != NO_SEQUENCE_NUMBER) {
      latestSequenceNumbers.put(box, beat.sequenceNumber());
    }
  }

  /** Forgets a box that is lost. */
  void removeBox(String box) {
    latest.remove(box);
    relayRequestedNanos.remove(box);
  }

  /** Returns the boxes that this one passes heartbeats on for. */
  Set<String> relayedBoxes(long lastMillis) {
    long since = clock.nanos() - lastMillis * NANOS_PER_MILLI;
    relayRequestedNanos.values().removeIf(asked -> asked - since < 0);
    return Set.copyOf(relayRequestedNanos.keySet());
  }

  /** Returns what is known of all boxes, with the own heartbeat. */
  Digest digestOfAll(Heartbeat own) {
    return digest(own, box -> true);
  }

  /** Returns what some boxes told this one, with the own heartbeat. */
  Digest digestOf(Collection<String> boxes, Heartbeat own) {
    return digest(own, boxes::contains);
  }

  private Digest digest(Heartbeat own, Predicate<String> wanted) {
    long now = clock.nanos();
    List<DigestEntry> entries = new ArrayList<>();
    entries.add(new DigestEntry(self, 0, own));
    latest.forEach(
        (box, held) -> {
          if (wanted.test(box)) {
            long age = (now - held.receivedNanos()) / NANOS_PER_MILLI;
            entries.add(new DigestEntry(box, age, held.heartbeat()));
          }
        });
    return new Digest(entries);
  }
}
