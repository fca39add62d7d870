package org.gradeledge.mesh;

import java.util.List;
import java.util.Map;
import org.gradeledge.batch.PendingPieces;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.limit.UpstreamLimits;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.selection.LoadBoard;

/**
 * What a box holds to be so, which it tells others of and learns from them. Confined to the event
 * loop.
 *
 * @param deployments configuration in force
 * @param upstreams upstreams that are known
 * @param board load and health of upstreams
 * @param toCome pieces that requests will want made
 * @param quarantine requests that end upstreams
 * @param limits limits that upstreams name
 * @since 0.3
 */
public record BoxBeliefs(
    DeploymentRegistry deployments,
    UpstreamRegistry upstreams,
    LoadBoard board,
    PendingPieces toCome,
    Quarantine quarantine,
    UpstreamLimits limits) {

  /** Returns what is told to all others. */
  Heartbeat heartbeat(
      String zone,
      boolean leaving,
      int strength,
      Map<String, List<Long>> backlogMillis,
      long number) {
    return new Heartbeat(
        zone,
        leaving,
        false,
        strength,
        deployments.revision(),
        upstreams.changedAt(),
        List.of(),
        board.ownShares(),
        backlogMillis,
        toCome.ownCounts(),
        upstreams.evacuations(),
        quarantine.digest(),
        upstreams.trust().code(),
        number,
        limits.reports(),
        upstreams.leavingAsTheySaid());
  }

  /** Forgets what a box told of itself, as it is lost. */
  void forget(String box) {
    board.setPeerShares(box, Map.of());
    toCome.removePeer(box);
  }

  /**
   * Takes in what a box tells; returns whether that orders the evacuation of other zones than
   * before, or tells of a limit or of an upstream that leaves which was not known.
   */
  boolean heard(String box, Heartbeat beat, long ageMillis) {
    board.setPeerShares(box, beat.shares());
    toCome.setPeerCounts(box, beat.piecesToCome());
    boolean limited = limits.told(box, beat.limits(), ageMillis);
    boolean leaving = upstreams.toldLeaving(box, beat.leavingUpstreams());
    return upstreams.evacuate(beat.evacuations()) || limited || leaving;
  }
}
