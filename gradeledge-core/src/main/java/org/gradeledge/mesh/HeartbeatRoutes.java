package org.gradeledge.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.gradeledge.selection.RendezvousHash;

/**
 * Selects the recipients of heartbeats and the connections that heartbeats require. Up to {@link
 * #MAX_FULL_MESH_BOXES} boxes send to all others. Above that, each box sends to two relays of its
 * zone, and the relays of different zones send to each other. Relays are the boxes that rank first
 * ({@link PeerTable#byRank}) among those that are alive and connected. Connections are kept to the
 * relays and one spare of each zone only, so the number of connections and messages per box does
 * not grow with the number of boxes. Confined to the event loop.
 */
final class HeartbeatRoutes {

  static final int MAX_FULL_MESH_BOXES = 12;

  private static final int RELAYS_PER_ZONE = 2;

  /** Includes a spare, which replaces a relay at once when its connection ends. */
  private static final int CANDIDATES_PER_ZONE = RELAYS_PER_ZONE + 1;

  private final String self;
  private final String zone;
  private final PeerTable peers;
  private final Supplier<Set<String>> connected;
  private final Predicate<String> unreachable;
  private final Map<String, List<String>> rankedByZone = new HashMap<>();
  private Set<String> rankedBoxes = Set.of();

  /**
   * Creates the routes of a box.
   *
   * @param connected supplies the boxes that this one is connected with
   * @param unreachable whether the last attempt to connect to a box failed
   */
  HeartbeatRoutes(
      String self,
      String zone,
      PeerTable peers,
      Supplier<Set<String>> connected,
      Predicate<String> unreachable) {
    this.self = self;
    this.zone = zone;
    this.peers = peers;
    this.connected = connected;
    this.unreachable = unreachable;
  }

  /** Returns whether heartbeats are relayed among the boxes that are alive. */
  boolean usesRelays() {
    return requiresRelays(peers.alive().size());
  }

  /** Returns whether heartbeats are relayed among the given number of boxes. */
  static boolean requiresRelays(int boxes) {
    return boxes > MAX_FULL_MESH_BOXES;
  }

  /** Returns the connected relays of the own zone, excluding this box. */
  List<String> localRelays() {
    return withoutSelf(relays(zone, connected.get()::contains));
  }

  /** Returns whether this box is a relay of its zone. */
  boolean isRelay() {
    return relays(zone, unreachable.negate()).contains(self);
  }

  /** Returns the connected relays of all other zones. */
  List<String> remoteRelays() {
    Set<String> reachable = connected.get();
    return peers.zones().stream()
        .filter(other -> !other.equals(zone))
        .flatMap(other -> relays(other, reachable::contains).stream())
        .toList();
  }

  /** Returns the boxes of the own zone to connect with for heartbeats. */
  List<String> localCandidates() {
    return withoutSelf(firstRanked(zone, unreachable.negate(), CANDIDATES_PER_ZONE));
  }

  /** Returns the boxes of other zones that a relay connects with for digests. */
  List<String> remoteCandidates() {
    return peers.zones().stream()
        .filter(other -> !other.equals(zone))
        .flatMap(other -> firstRanked(other, unreachable.negate(), CANDIDATES_PER_ZONE).stream())
        .toList();
  }

  /** Returns whether this box is among the first {@code count} available boxes for a task. */
  boolean isAmongFirst(String task, int count) {
    return peers.available().stream()
        .sorted(RendezvousHash.byRank(task))
        .limit(count)
        .anyMatch(self::equals);
  }

  private List<String> relays(String boxZone, Predicate<String> usable) {
    return firstRanked(boxZone, usable, RELAYS_PER_ZONE);
  }

  private List<String> firstRanked(String boxZone, Predicate<String> usable, int count) {
    return ranked(boxZone).stream()
        .filter(box -> box.equals(self) || usable.test(box))
        .limit(count)
        .toList();
  }

  /** Caches the order, which changes only with the set of available boxes. */
  private List<String> ranked(String boxZone) {
    Set<String> available = peers.available();
    if (available != rankedBoxes) {
      rankedBoxes = available;
      rankedByZone.clear();
    }
    return rankedByZone.computeIfAbsent(boxZone, zoneName -> rankBoxes(available, zoneName));
  }

  private List<String> rankBoxes(Set<String> boxes, String boxZone) {
    return boxes.stream()
        .filter(box -> peers.zoneOf(box).filter(boxZone::equals).isPresent())
        .sorted(peers.byRank("relay"))
        .toList();
  }

  private List<String> withoutSelf(List<String> boxes) {
    return boxes.stream().filter(box -> !box.equals(self)).toList();
  }
}
