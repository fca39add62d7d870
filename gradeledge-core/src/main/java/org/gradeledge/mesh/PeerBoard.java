package org.gradeledge.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.gradeledge.event.EventLog;
import org.gradeledge.time.MonotonicClock;

/** Which boxes are heard, and which of them do work for others. Confined to the event loop. */
final class PeerBoard {

  private static final long FORGET_MILLIS = 60_000;
  private static final long FIRST_LOOK_MILLIS = 500;
  private static final long NOBODY_NEW_MILLIS = 300;
  private static final long LAST_LOOK_MILLIS = 1_200;

  private record Seen(long nanos, String zone, boolean leaving, boolean alive) {}

  private final String self;
  private final String zone;
  private final MonotonicClock clock;
  private final EventLog events;
  private final Map<String, Seen> seen = new HashMap<>();
  private final List<Consumer<String>> lostListeners = new ArrayList<>();
  private final long startNanos;
  private long newestNanos;
  private boolean leaving;

  PeerBoard(String self, String zone, MonotonicClock clock, EventLog events) {
    this.self = self;
    this.zone = zone;
    this.clock = clock;
    this.startNanos = clock.nanos();
    this.newestNanos = startNanos;
    this.events = events;
  }

  void onLost(Consumer<String> listener) {
    lostListeners.add(listener);
  }

  void leave() {
    leaving = true;
  }

  /** Notes what a box told so many milliseconds ago. */
  void heard(String box, String boxZone, boolean boxLeaving, long ageMillis) {
    long nanos = clock.nanos() - ageMillis * 1_000_000;
    Seen before = seen.put(box, new Seen(nanos, boxZone, boxLeaving, true));
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
      seen.put(box, new Seen(last.nanos(), last.zone(), last.leaving(), false));
      events.change("peer-lost").with("peer", box).with("silent-ms", silent).write();
      lostListeners.forEach(listener -> listener.accept(box));
    } else if (silent > FORGET_MILLIS) {
      seen.remove(box);
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

  /** Returns the zones of all boxes that were heard, and the own one. */
  Set<String> zones() {
    Set<String> zones = new TreeSet<>();
    zones.add(zone);
    seen.values().forEach(last -> zones.add(last.zone()));
    return zones;
  }

  /** Returns the boxes that are heard, this one included. */
  Set<String> alive() {
    Set<String> boxes = new TreeSet<>();
    boxes.add(self);
    seen.forEach((box, last) -> addIf(last.alive(), boxes, box));
    return boxes;
  }

  /** Returns the boxes that do work for others; this one counts where there is no other. */
  Set<String> working() {
    Set<String> boxes = new TreeSet<>();
    seen.forEach((box, last) -> addIf(last.alive() && !last.leaving(), boxes, box));
    if (!leaving || boxes.isEmpty()) {
      boxes.add(self);
    }
    return boxes;
  }

  private static void addIf(boolean condition, Set<String> boxes, String box) {
    if (condition) {
      boxes.add(box);
    }
  }
}
