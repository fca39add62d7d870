package org.gradeledge.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.gradeledge.event.EventLog;
import org.gradeledge.limit.BoxRank;
import org.gradeledge.selection.RendezvousHash;
import org.gradeledge.time.MonotonicClock;

/** Which boxes are heard, and which of them do work for others. Confined to the event loop. */
final class PeerBoard {

  private static final long FORGET_MILLIS = 60_000;
  private static final long FIRST_LOOK_MILLIS = 500;
  private static final long NOBODY_NEW_MILLIS = 300;
  private static final long LAST_LOOK_MILLIS = 1_200;

  /**
   * Twice the time over which what was sent to an upstream counts, and long after a box is lost.
   */
  private static final Duration MAY_BE_AT_WORK = Duration.ofSeconds(10);

  private record Seen(long nanos, String zone, boolean leaving, int strength, boolean alive) {

    /** Returns the same of a box that is not heard any more. */
    Seen lost() {
      return new Seen(nanos, zone, leaving, strength, false);
    }

    /** Returns whether anything but the time is not as it was. */
    boolean differs(Seen before) {
      return alive != before.alive
          || leaving != before.leaving
          || strength != before.strength
          || !zone.equals(before.zone);
    }
  }

  private final String self;
  private final String zone;
  private final int strength;
  private final MonotonicClock clock;
  private final EventLog events;
  private final Map<String, Seen> seen = new HashMap<>();
  private final List<Consumer<String>> lostListeners = new ArrayList<>();
  private final long startNanos;
  private long newestNanos;
  private boolean leaving;
  private Set<String> alive = Set.of();
  private Set<String> working = Set.of();
  private Set<String> zones = Set.of();

  PeerBoard(String self, String zone, int strength, MonotonicClock clock, EventLog events) {
    this.self = self;
    this.zone = zone;
    this.strength = strength;
    this.clock = clock;
    this.startNanos = clock.nanos();
    this.newestNanos = startNanos;
    this.events = events;
    lookAgain();
  }

  void onLost(Consumer<String> listener) {
    lostListeners.add(listener);
  }

  void leave() {
    leaving = true;
    lookAgain();
  }

  /** Notes what a box told so many milliseconds ago. */
  void heard(String box, String boxZone, boolean boxLeaving, int boxStrength, long ageMillis) {
    long nanos = clock.nanos() - ageMillis * 1_000_000;
    Seen now = new Seen(nanos, boxZone, boxLeaving, boxStrength, true);
    Seen before = seen.put(box, now);
    if (before == null || now.differs(before)) {
      lookAgain();
    }
    if (before == null || !before.alive()) {
      newestNanos = clock.nanos();
      events.change("peer-heard").with("peer", box).write();
    }
  }

  /** Marks boxes that have been silent for too long; returns those that were lost just now. */
  void expire(long silentMillis) {
    long now = clock.nanos();
    Set.copyOf(seen.keySet()).forEach(box -> expire(box, silentMillis, now));
  }

  private void expire(String box, long silentMillis, long now) {
    Seen last = seen.get(box);
    long silent = (now - last.nanos()) / 1_000_000;
    if (last.alive() && silent > silentMillis) {
      seen.put(box, last.lost());
      lookAgain();
      events.change("peer-lost").with("peer", box).with("silent-ms", silent).write();
      lostListeners.forEach(listener -> listener.accept(box));
    } else if (silent > FORGET_MILLIS) {
      seen.remove(box);
      lookAgain();
    }
  }

  /**
   * Returns whether this box has been up for long enough to know who else is there: it has looked
   * for a while and heard nobody new lately, or has looked for very long.
   */
  boolean settled() {
    long now = clock.nanos();
    long up = (now - startNanos) / 1_000_000;
    long nobodyNew = (now - newestNanos) / 1_000_000;
    return up >= LAST_LOOK_MILLIS || (up >= FIRST_LOOK_MILLIS && nobodyNew >= NOBODY_NEW_MILLIS);
  }

  /**
   * Returns where this box stands for a duty, by rendezvous hashing, among all that may be at work
   * still: those that are lost count a while, as what they have sent does, and one that others do
   * not hear may go on. Empty while this box cannot know who is there.
   */
  Optional<BoxRank> rank(String duty) {
    if (!settled()) {
      return Optional.empty();
    }
    long own = RendezvousHash.weight(duty, self);
    long now = clock.nanos();
    List<String> others =
        seen.entrySet().stream()
            .filter(entry -> now - entry.getValue().nanos() < MAY_BE_AT_WORK.toNanos())
            .map(Map.Entry::getKey)
            .filter(box -> !box.equals(self))
            .toList();
    long before = others.stream().filter(box -> RendezvousHash.weight(duty, box) > own).count();
    return Optional.of(new BoxRank((int) before, others.size() + 1));
  }

  boolean isAlive(String box) {
    Seen last = seen.get(box);
    return last != null && last.alive();
  }

  /** Returns the zone of a box that was heard, or of this one. */
  Optional<String> zoneOf(String box) {
    return box.equals(self)
        ? Optional.of(zone)
        : Optional.ofNullable(seen.get(box)).map(Seen::zone);
  }

  /**
   * Returns the order in which boxes come to do something for others: the stronger ones first, as
   * one box makes the calls of a whole service and a relay sends digests to its zone; among boxes
   * that are alike by rendezvous hashing. Strengths within a factor of two count as alike, so that
   * small differences do not bring all duties to one box.
   */
  Comparator<String> byRank(String duty) {
    return Comparator.comparingInt(this::strengthClass)
        .reversed()
        .thenComparing(RendezvousHash.byRank(duty));
  }

  private int strengthClass(String box) {
    int known = box.equals(self) ? strength : seen.containsKey(box) ? seen.get(box).strength() : 0;
    return Integer.SIZE - Integer.numberOfLeadingZeros(known);
  }

  /** Returns the zones of all boxes that were heard, and the own one. */
  Set<String> zones() {
    return zones;
  }

  /** Returns the boxes that are heard, this one included; the same set until one changes. */
  Set<String> alive() {
    return alive;
  }

  /**
   * Returns the boxes that do work for others; this one counts where there is no other. It is the
   * same set until one of them changes.
   */
  Set<String> working() {
    return working;
  }

  /** These are asked for many times a request, and change only where a box comes or goes. */
  private void lookAgain() {
    Set<String> zonesNow = new TreeSet<>(Set.of(zone));
    Set<String> aliveNow = new TreeSet<>(Set.of(self));
    Set<String> workingNow = new TreeSet<>();
    seen.forEach(
        (box, last) -> {
          zonesNow.add(last.zone());
          addIf(last.alive(), aliveNow, box);
          addIf(last.alive() && !last.leaving(), workingNow, box);
        });
    addIf(!leaving || workingNow.isEmpty(), workingNow, self);
    zones = Collections.unmodifiableSet(zonesNow);
    alive = Collections.unmodifiableSet(aliveNow);
    working = Collections.unmodifiableSet(workingNow);
  }

  private static void addIf(boolean condition, Set<String> boxes, String box) {
    if (condition) {
      boxes.add(box);
    }
  }
}
