package org.gradeledge.mesh;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.gradeledge.event.EventLog;
import org.gradeledge.selection.RendezvousHash;

/**
 * Which box makes the calls for each service: the one that ranks first by rendezvous hashing among
 * those that are heard and connected. A box that ended is not connected at once, but heard for a
 * while yet. Confined to the event loop.
 */
final class StageCoordinators {

  private final String self;
  private final PeerBoard peers;
  private final Supplier<Set<String>> connected;
  private final EventLog events;
  private final Map<String, String> byService = new HashMap<>();
  private final Map<String, String> toldByService = new HashMap<>();
  private Set<String> workingBefore = Set.of();
  private Set<String> connectedBefore = Set.of();

  /**
   * Creates the choice.
   *
   * @param connected names of the boxes that are connected, the same set until one changes
   */
  StageCoordinators(
      String self, PeerBoard peers, Supplier<Set<String>> connected, EventLog events) {
    this.self = self;
    this.peers = peers;
    this.connected = connected;
    this.events = events;
  }

  /** Returns the box for a service; each request asks several times, and it seldom changes. */
  String of(String service) {
    Set<String> working = peers.working();
    Set<String> reachable = connected.get();
    if (working != workingBefore || reachable != connectedBefore) {
      workingBefore = working;
      connectedBefore = reachable;
      byService.clear();
    }
    return byService.computeIfAbsent(service, this::choose);
  }

  private String choose(String service) {
    String chosen =
        workingBefore.stream()
            .filter(box -> box.equals(self) || connectedBefore.contains(box))
            .max(Comparator.comparingLong(box -> RendezvousHash.weight(service, box)))
            .orElse(self);
    String before = toldByService.put(service, chosen);
    if (!chosen.equals(before)) {
      events
          .change("coordinator")
          .with("service", service)
          .with("peer", chosen)
          .with("before", String.valueOf(before))
          .with("boxes", workingBefore.size())
          .write();
    }
    return chosen;
  }
}
