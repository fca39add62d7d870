package org.gradeledge.mesh;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Chooses a box that was known and is not heard to be tried again. All boxes that hear each other
 * try together, so that each lost one is tried a few times a second whatever their number: that
 * brings together what a cut has parted, and finds a box that came back while its seeds were away.
 * Confined to the event loop.
 */
final class LostBoxSelector {

  /**
   * How many of the boxes that are heard try a lost one at each heartbeat: at a heartbeat every 400
   * ms each lost box is tried five times a second, so that it is met within a second by far the
   * most times.
   */
  private static final double ATTEMPTS_PER_HEARTBEAT = 2;

  private final PeerTable peers;
  private final Set<String> knownBoxes;
  private final Random random;

  /**
   * Creates the choice.
   *
   * @param known all boxes that were ever heard of; a view
   */
  LostBoxSelector(PeerTable peers, Set<String> known, Random random) {
    this.peers = peers;
    this.knownBoxes = known;
    this.random = random;
  }

  /** Returns the box to be tried at this heartbeat, if it is this box's turn. */
  Optional<String> next() {
    List<String> lost = knownBoxes.stream().filter(box -> !peers.isAlive(box)).sorted().toList();
    double turn = ATTEMPTS_PER_HEARTBEAT * lost.size() / peers.alive().size();
    return lost.isEmpty() || random.nextDouble() >= turn
        ? Optional.empty()
        : Optional.of(lost.get(random.nextInt(lost.size())));
  }
}
