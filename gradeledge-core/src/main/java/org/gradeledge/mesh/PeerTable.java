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

/**
 * Tracks which other boxes are alive and which are available for work. Confined to the event loop.
 */
final class PeerTable {

  private static final long RETENTION_MILLIS = 60_000;
  private static final long MIN_DISCOVERY_MILLIS = 500;
  private static final long QUIET_PERIOD_MILLIS = 300;
  private static final long MAX_DISCOVERY_MILLIS = 1_200;

  /**
   * Time for which a lost box counts in {@link #rank}: longer than calls that it has sent may
   * affect an upstream.
   */
  private static final Duration RANK_RETENTION = Duration.ofSeconds(10);

  private record PeerState(
      long reportedNanos, String zone, boolean leaving, int weight, boolean alive) {

    PeerState asLost() {
      return new PeerState(reportedNanos, zone, leaving, weight, false);
    }

    /** Returns whether anything other than the time has changed. */
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

  PeerTable(String self, String zone, int weight, MonotonicClock clock, EventLog events) {
    this.self = self;
    this.zone = zone;
    this.weight = weight;
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

  /** Records the state that a box reported the given time ago. */
  void update(String box, String boxZone, boolean boxLeaving, int boxWeight, long ageMillis) {
    long nanos = clock.nanos() - ageMillis * 1_000_000;
    PeerState now = new PeerState(nanos, boxZone, boxLeaving, boxWeight, true);
    PeerState before = peers.put(box, now);
    if (before == null || now.differsFrom(before)) {
      refreshSets();
    }
    if (before == null || !before.alive()) {
      lastJoinNanos = clock.nanos();
      events.change("peer-heard").with("peer", box).write();
    }
  }

  /** Marks boxes as lost that have sent nothing for the given time. */
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
   * Returns whether this box has been running long enough to know its peers: no new peer was
   * reported for a while, or the maximum discovery time has passed.
   */
  boolean isDiscoveryComplete() {
    long now = clock.nanos();
    long uptime = (now - startNanos) / 1_000_000;
    long quietMillis = (now - lastJoinNanos) / 1_000_000;
    return uptime >= MAX_DISCOVERY_MILLIS
        || (uptime >= MIN_DISCOVERY_MILLIS && quietMillis >= QUIET_PERIOD_MILLIS);
  }

  /**
   * Returns the rank of this box for a task, by rendezvous hashing, among all boxes that may be
   * running. Lost boxes count for a while, as they may still be running and their calls may still
   * be in flight. Empty during discovery.
   */
  Optional<BoxRank> rank(String task) {
    if (!isDiscoveryComplete()) {
      return Optional.empty();
    }
    long own = RendezvousHash.weight(task, self);
    long now = clock.nanos();
    List<String> others =
        peers.entrySet().stream()
            .filter(entry -> now - entry.getValue().reportedNanos() < RANK_RETENTION.toNanos())
            .map(Map.Entry::getKey)
            .filter(box -> !box.equals(self))
            .toList();
    long higherRanked =
        others.stream().filter(box -> RendezvousHash.weight(task, box) > own).count();
    return Optional.of(new BoxRank((int) higherRanked, others.size() + 1));
  }

  boolean isAlive(String box) {
    PeerState last = peers.get(box);
    return last != null && last.alive();
  }

  /** Returns the zone of this or another known box. */
  Optional<String> zoneOf(String box) {
    return box.equals(self)
        ? Optional.of(zone)
        : Optional.ofNullable(peers.get(box)).map(PeerState::zone);
  }

  /**
   * Returns the order in which boxes are selected for a task: by weight, then by rendezvous
   * hashing. Weights within a factor of two count as equal, so that small differences do not assign
   * all tasks to one box.
   */
  Comparator<String> byRank(String task) {
    return Comparator.comparingInt(this::weightClass)
        .reversed()
        .thenComparing(RendezvousHash.byRank(task));
  }

  private int weightClass(String box) {
    int boxWeight =
        box.equals(self) ? weight : peers.containsKey(box) ? peers.get(box).weight() : 0;
    return Integer.SIZE - Integer.numberOfLeadingZeros(boxWeight);
  }

  /** Returns the zones of all known boxes, including this one. */
  Set<String> zones() {
    return zones;
  }

  /** Returns the boxes that are alive, including this one. The set is replaced when it changes. */
  Set<String> alive() {
    return alive;
  }

  /**
   * Returns the boxes that are available for work of others, including this one if there is no
   * other. The set is replaced when it changes.
   */
  Set<String> available() {
    return available;
  }

  /** Recomputes the sets that are read several times per request. */
  private void refreshSets() {
    Set<String> newZones = new TreeSet<>(Set.of(zone));
    Set<String> newAlive = new TreeSet<>(Set.of(self));
    Set<String> newAvailable = new TreeSet<>();
    peers.forEach(
        (box, last) -> {
          newZones.add(last.zone());
          addIf(last.alive(), newAlive, box);
          addIf(last.alive() && !last.leaving(), newAvailable, box);
        });
    addIf(!leaving || newAvailable.isEmpty(), newAvailable, self);
    zones = Collections.unmodifiableSet(newZones);
    alive = Collections.unmodifiableSet(newAlive);
    available = Collections.unmodifiableSet(newAvailable);
  }

  private static void addIf(boolean condition, Set<String> boxes, String box) {
    if (condition) {
      boxes.add(box);
    }
  }
}
