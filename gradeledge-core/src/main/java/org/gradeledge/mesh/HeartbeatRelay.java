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
  private static final long SAME_MILLIS = 60;

  private static final long NO_NUMBER = 0;

  private static final long NANOS_OF_MILLI = 1_000_000;

  private record Held(Heartbeat beat, long heardNanos) {}

  private final String self;
  private final MonotonicClock clock;
  private final Map<String, Held> latest = new HashMap<>();
  private final Map<String, Long> askedNanos = new HashMap<>();

  /** Kept when a box is lost: its last heartbeat, still on its way, must not bring it back. */
  private final Map<String, Long> newestNumbers = new HashMap<>();

  HeartbeatRelay(String self, MonotonicClock clock) {
    this.self = self;
    this.clock = clock;
  }

  /** Takes in what a box told directly, and whether it asks for its heartbeats to be passed on. */
  void heard(String box, Heartbeat beat) {
    long now = clock.nanos();
    hold(box, beat, now);
    if (beat.relayAsked()) {
      askedNanos.put(box, now);
    }
  }

  /** Takes a digest in; returns what is newer than what was known. */
  List<DigestEntry> takeNewer(Digest digest) {
    return digest.entries().stream()
        .filter(entry -> !entry.box().equals(self))
        .filter(this::take)
        .toList();
  }

  private boolean take(DigestEntry entry) {
    long heardNanos = clock.nanos() - entry.ageMillis() * NANOS_OF_MILLI;
    boolean newer = isNewer(entry, heardNanos);
    if (newer) {
      hold(entry.box(), entry.beat(), heardNanos);
    }
    return newer;
  }

  /**
   * A number tells it for sure. An age is less by the time that each way takes, so that what goes
   * round on busy boxes would seem newer each time.
   */
  private boolean isNewer(DigestEntry entry, long heardNanos) {
    Long newest = newestNumbers.get(entry.box());
    if (newest != null && entry.beat().number() != NO_NUMBER) {
      return entry.beat().number() > newest;
    }
    Held known = latest.get(entry.box());
    return known == null || heardNanos - known.heardNanos() >= SAME_MILLIS * NANOS_OF_MILLI;
  }

  private void hold(String box, Heartbeat beat, long heardNanos) {
    latest.put(box, new Held(beat, heardNanos));
    if (beat.number() != NO_NUMBER) {
      newestNumbers.put(box, beat.number());
    }
  }

  /** Forgets a box that is lost. */
  void forget(String box) {
    latest.remove(box);
    askedNanos.remove(box);
  }

  /** Returns the boxes that this one passes heartbeats on for. */
  Set<String> flock(long lastMillis) {
    long since = clock.nanos() - lastMillis * NANOS_OF_MILLI;
    askedNanos.values().removeIf(asked -> asked - since < 0);
    return Set.copyOf(askedNanos.keySet());
  }

  /** Returns what is known of all boxes, with the own heartbeat. */
  Digest ofAll(Heartbeat own) {
    return digest(own, box -> true);
  }

  /** Returns what some boxes told this one, with the own heartbeat. */
  Digest of(Collection<String> boxes, Heartbeat own) {
    return digest(own, boxes::contains);
  }

  private Digest digest(Heartbeat own, Predicate<String> wanted) {
    long now = clock.nanos();
    List<DigestEntry> entries = new ArrayList<>();
    entries.add(new DigestEntry(self, 0, own));
    latest.forEach(
        (box, held) -> {
          if (wanted.test(box)) {
            long age = (now - held.heardNanos()) / NANOS_OF_MILLI;
            entries.add(new DigestEntry(box, age, held.beat()));
          }
        });
    return new Digest(entries);
  }
}
