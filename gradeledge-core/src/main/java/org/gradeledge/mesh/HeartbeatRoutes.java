package org.gradeledge.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.gradeledge.selection.RendezvousHash;

/**
 * Whom a box tells what it has. Few boxes tell all others. Among many, each tells two relays of its
 * zone, and the relays of different zones tell each other; so what a box sends and receives does
 * not grow with the number of boxes, but for the digests' length. Relays are those that rank first
 * ({@link PeerTable#byRank}) among the boxes that are heard and connected. Connections are kept up
 * with those and one spare of each zone alone, so that they do not grow with the number of boxes
 * either. Confined to the event loop.
 */
final class HeartbeatRoutes {

  /** Up to so many boxes all tell all. */
  static final int MAX_FULL_MESH_BOXES = 12;

  private static final int RELAYS_PER_ZONE = 2;

  /** Relays and a spare, which takes the place of one whose connection ends without a dial. */
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
   * @param connected the boxes that this one is connected with
   * @param unreachable whether the last dial of a box came to nothing
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

  /** Returns whether there are so many boxes that heartbeats are relayed. */
  boolean usesRelays() {
    return requiresRelays(peers.alive().size());
  }

  /** Returns whether heartbeats are relayed among so many boxes. */
  static boolean requiresRelays(int boxes) {
    return boxes > MAX_FULL_MESH_BOXES;
  }

  /** Returns the relays of the own zone, without this box. */
  List<String> localRelays() {
    return withoutSelf(relays(zone, connected.get()::contains));
  }

  /** Returns whether this box is a relay of its zone. */
  boolean isRelay() {
    return relays(zone, unreachable.negate()).contains(self);
  }

  /** Returns the relays of all other zones. */
  List<String> remoteRelays() {
    Set<String> reachable = connected.get();
    return peers.zones().stream()
        .filter(other -> !other.equals(zone))
        .flatMap(other -> relays(other, reachable::contains).stream())
        .toList();
  }

  /** Returns the boxes of the own zone to be connected with for heartbeats. */
  List<String> localCandidates() {
    return withoutSelf(firstRanked(zone, unreachable.negate(), CANDIDATES_PER_ZONE));
  }

  /** Returns the boxes of other zones that a relay is to be connected with for digests. */
  List<String> remoteCandidates() {
    return peers.zones().stream()
        .filter(other -> !other.equals(zone))
        .flatMap(other -> firstRanked(other, unreachable.negate(), CANDIDATES_PER_ZONE).stream())
        .toList();
  }

  /** Returns whether this box is among the first so many of all that work for others. */
  boolean isAmongFirst(String duty, int count) {
    return peers.available().stream()
        .sorted(RendezvousHash.byRank(duty))
        .limit(count)
        .anyMatch(self::equals);
  }

  private List<String> relays(String ofZone, Predicate<String> usable) {
    return firstRanked(ofZone, usable, RELAYS_PER_ZONE);
  }

  private List<String> firstRanked(String ofZone, Predicate<String> usable, int count) {
    return ranked(ofZone).stream()
        .filter(box -> box.equals(self) || usable.test(box))
        .limit(count)
        .toList();
  }

  /** Each heartbeat asks several times, and the order changes only where a box does. */
  private List<String> ranked(String ofZone) {
    Set<String> working = peers.available();
    if (working != rankedBoxes) {
      rankedBoxes = working;
      rankedByZone.clear();
    }
    return rankedByZone.computeIfAbsent(ofZone, zoneName -> rankBoxes(working, zoneName));
  }

  private List<String> rankBoxes(Set<String> boxes, String ofZone) {
    return boxes.stream()
        .filter(box -> peers.zoneOf(box).filter(ofZone::equals).isPresent())
        .sorted(peers.byRank("relay"))
        .toList();
  }

  private List<String> withoutSelf(List<String> boxes) {
    return boxes.stream().filter(box -> !box.equals(self)).toList();
  }
}
