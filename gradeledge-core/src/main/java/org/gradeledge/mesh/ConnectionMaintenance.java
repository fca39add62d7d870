package org.gradeledge.mesh;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Keeps the connections open that heartbeats require: to all other boxes or, among many, to the
 * relays. Confined to the event loop.
 */
final class ConnectionMaintenance {

  private final String self;
  private final PeerTable peers;
  private final HeartbeatRoutes routes;
  private final HeartbeatSender sender;
  private final MeshConnections connections;
  private final List<String> seeds;
  private final Set<String> knownBoxes = new HashSet<>();

  /**
   * Creates the maintenance of a box.
   *
   * @param seeds addresses of some boxes, possibly outdated
   */
  ConnectionMaintenance(
      String self,
      PeerTable peers,
      HeartbeatRoutes routes,
      HeartbeatSender sender,
      MeshConnections connections,
      Collection<String> seeds) {
    this.self = self;
    this.peers = peers;
    this.routes = routes;
    this.sender = sender;
    this.connections = connections;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self)).toList();
  }

  /** Returns all boxes that were ever reported, which may be lost. */
  Set<String> knownBoxes() {
    return knownBoxes;
  }

  /** Records a box that has sent a heartbeat and those that it knows. */
  void addKnown(String box, Collection<String> boxesKnownToIt) {
    knownBoxes.add(box);
    boxesKnownToIt.stream().filter(other -> !other.equals(self)).forEach(knownBoxes::add);
  }

  /** A box that is starting waits to be introduced, as connecting to all boxes is expensive. */
  void maintain() {
    if (routes.usesRelays()) {
      connections.markUsed(sender.requiredConnections());
    } else {
      connections.markUsed(
          HeartbeatRoutes.requiresRelays(knownBoxes.size()) ? otherAliveBoxes() : knownBoxes);
    }
    connections.maintain(sender.receivesDigests() ? List.of() : seeds);
  }

  private List<String> otherAliveBoxes() {
    return peers.alive().stream().filter(box -> !box.equals(self)).toList();
  }
}
