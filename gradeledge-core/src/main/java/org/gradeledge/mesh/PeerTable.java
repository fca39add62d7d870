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
final class PeerTable {

  private static final long RETENTION_MILLIS = 60_000;
  private static final long MIN_DISCOVERY_MILLIS = 500;
  private static final long QUIET_PERIOD_MILLIS = 300;
  private static final long MAX_DISCOVERY_MILLIS = 1_200;

  /**
   * Twice the time over which what was sent to an upstream counts, and long after a box is lost.
   */
  private static final Duration RANK_RETENTION = Duration.ofSeconds(10);

  private record PeerState(
      long reportedNanos, String zone, boolean leaving, int weight, boolean alive) {

    /** Returns the same of a box that is not heard any more. */
    PeerState asLost() {
      return new PeerState(reportedNanos, zone, leaving, weight, false);
    }

    /** Returns whether anything but the time is not as it was. */
    boolean differsFrom(PeerState before) {
      return alive != before.alive
          || leaving != before.leaving
          || weight != before.weight
          || !zone.equals(before.zone);
    }
  }

  private final String self;
  private final String zone;
  private final int weight;
  private final MonotonicClock clock;
  private final EventLog events;
  private final Map<String, PeerState> peers = new HashMap<>();
  private final List<Consumer<String>> lostListeners = new ArrayList<>();
  private final long startNanos;
  private long lastJoinNanos;
  private boolean leaving;
  private Set<String> alive = Set.of();
  private Set<String> available = Set.of();
  private Set<String> zones = Set.of();

  PeerTable(String self, String zone, int strength, MonotonicClock clock, EventLog events) {
    this.self = self;
    this.zone = zone;
    this.weight = strength;
    this.clock = clock;
    this.startNanos = clock.nanos();
    this.lastJoinNanos = startNanos;
    this.events = events;
    refreshSets();
  }

  void onLost(Consumer<String> listener) {
    lostListeners.add(listener);
  }

  void leave() {
    leaving = true;
    refreshSets();
  }

  /** Notes what a box told so many milliseconds ago. */
  void update(String box, String boxZone, boolean boxLeaving, int boxStrength, long ageMillis) {
    long nanos = clock.nanos() - ageMillis * 1_000_000;
    PeerState now = new PeerState(nanos, boxZone, boxLeaving, boxStrength, true);
    PeerState before = peers.put(box, now);
    if (before == null || now.differsFrom(before)) {
      refreshSets();
    }
    if (before == null || !before.alive()) {
      lastJoinNanos = clock.nanos();
      events.change("peer-heard").with("peer", box).write();
    }
  }

  /** Marks boxes that have been silent for too long; returns those that were lost just now. */
  void expire(long silentMillis) {
    long now = clock.nanos();
    Set.copyOf(peers.keySet()).forEach(box -> expire(box, silentMillis, now));
  }

  private void expire(String box, long silentMillis, long now) {
    PeerState last = peers.get(box);
    long silent = (now - last.reportedNanos()) / 1_000_000;
    if (last.alive() && silent > silentMillis) {
      peers.put(box, last.asLost());
      refreshSets();
      events.change("peer-lost").with("peer", box).with("silent-ms", silent).write();
      lostListeners.forEach(listener -> listener.accept(box));
    } else if (silent > RETENTION_MILLIS) {
      peers.remove(box);
      refreshSets();
    }
  }

  /**
   * Returns whether this box has been up for long enough to know who else is there: it has looked
   * for a while and heard nobody new lately, or has looked for very long.
   */
  boolean isDiscoveryComplete() {
    long now = clock.nanos();
    long up = (now - startNanos) / 1_000_000;
    long nobodyNew = (now - lastJoinNanos) / 1_000_000;
    return up >= MAX_DISCOVERY_MILLIS
        || (up >= MIN_DISCOVERY_MILLIS && nobodyNew >= QUIET_PERIOD_MILLIS);
  }

  /**
   * Returns where this box stands for a duty, by rendezvous hashing, among all that may be at work
   * still: those that are lost count a while, as what they have sent does, and one that others do
   * not hear may go on. Empty while this box cannot know who is there.
   */
  Optional<BoxRank> rank(String duty) {
    if (!isDiscoveryComplete()) {
      return Optional.empty();
    }
    long own = RendezvousHash.weight(duty, self);
    long now = clock.nanos();
    List<String> others =
        peers.entrySet().stream()
            .filter(entry -> now - entry.getValue().reportedNanos() < RANK_RETENTION.toNanos())
            .map(Map.Entry::getKey)
            .filter(box -> !box.equals(self))
            .toList();
    long before = others.stream().filter(box -> RendezvousHash.weight(duty, box) > own).count();
    return Optional.of(new BoxRank((int) before, others.size() + 1));
  }

  boolean isAlive(String box) {
    PeerState last = peers.get(box);
    return last != null && last.alive();
  }

  /** Returns the zone of a box that was heard, or of this one. */
  Optional<String> zoneOf(String box) {
    return box.equals(self)
        ? Optional.of(zone)
        : Optional.ofNullable(peers.get(box)).map(PeerState::zone);
  }

  /**
   * Returns the order in which boxes come to do something for others: the stronger ones first, as
   * one box makes the calls of a whole service and a relay sends digests to its zone; among boxes
   * that are alike by rendezvous hashing. Strengths within a factor of two count as alike, so that
   * small differences do not bring all duties to one box.
   */
  Comparator<String> byRank(String duty) {
    return Comparator.comparingInt(this::weightClass)
        .reversed()
        .thenComparing(RendezvousHash.byRank(duty));
  }

  private int weightClass(String box) {
    int known = box.equals(self) ? weight : peers.containsKey(box) ? peers.get(box).weight() : 0;
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
  Set<String> available() {
    return available;
  }

  /** These are asked for many times a request, and change only where a box comes or goes. */
  private void refreshSets() {
    Set<String> zonesNow = new TreeSet<>(Set.of(zone));
    Set<String> aliveNow = new TreeSet<>(Set.of(self));
    Set<String> workingNow = new TreeSet<>();
    peers.forEach(
        (box, last) -> {
          zonesNow.add(last.zone());
          addIf(last.alive(), aliveNow, box);
          addIf(last.alive() && !last.leaving(), workingNow, box);
        });
    addIf(!leaving || workingNow.isEmpty(), workingNow, self);
    zones = Collections.unmodifiableSet(zonesNow);
    alive = Collections.unmodifiableSet(aliveNow);
    available = Collections.unmodifiableSet(workingNow);
  }

  private static void addIf(boolean condition, Set<String> boxes, String box) {
    if (condition) {
      boxes.add(box);
    }
  }
}
