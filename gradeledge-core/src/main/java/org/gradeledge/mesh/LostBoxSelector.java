package org.gradeledge.mesh;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Selects a lost box to reconnect to. The boxes that are alive share the attempts, so the number of
 * attempts per lost box does not depend on the number of boxes. This ends network partitions and
 * finds restarted boxes whose seeds were unavailable. Confined to the event loop.
 */
final class LostBoxSelector {

  /** Average number of boxes that try each lost box per heartbeat: five a second if relayed. */
  private static final double ATTEMPTS_PER_HEARTBEAT = 2;

  private final PeerTable peers;
  private final Set<String> knownBoxes;
  private final Random random;

  /**
   * Creates the selector.
   *
   * @param knownBoxes live view of all boxes that were ever reported
   */
  LostBoxSelector(PeerTable peers, Set<String> knownBoxes, Random random) {
    this.peers = peers;
    this.knownBoxes = knownBoxes;
    this.random = random;
  }

  /** Returns the box to connect to at this heartbeat, if any. */
  Optional<String> next() {
    List<String> lost = knownBoxes.stream().filter(box -> !peers.isAlive(box)).sorted().toList();
    double probability = ATTEMPTS_PER_HEARTBEAT * lost.size() / peers.alive().size();
    return lost.isEmpty() || random.nextDouble() >= probability
        ? Optional.empty()
        : Optional.of(lost.get(random.nextInt(lost.size())));
  }
}
