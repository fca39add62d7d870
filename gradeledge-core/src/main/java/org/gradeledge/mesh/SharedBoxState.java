package org.gradeledge.mesh;

import java.util.List;
import java.util.Map;
import org.gradeledge.batch.PendingPieces;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.limit.UpstreamLimits;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.selection.UpstreamLoads;

/**
 * What a box holds to be so, which it tells others of and learns from them. Confined to the event
 * loop.
 *
 * @param deployments configuration in force
 * @param upstreams upstreams that are known
 * @param upstreamLoads load and health of upstreams
 * @param pendingPieces pieces that requests will want made
 * @param quarantine requests that end upstreams
 * @param limits limits that upstreams name
 * @since 0.3
 */
public record SharedBoxState(
    DeploymentRegistry deployments,
    UpstreamRegistry upstreams,
    UpstreamLoads upstreamLoads,
    PendingPieces pendingPieces,
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
        upstreamLoads.ownLoads(),
        backlogMillis,
        pendingPieces.ownCounts(),
        upstreams.evacuations(),
        quarantine.digest(),
        upstreams.listTrust().code(),
        number,
        limits.reports(),
        upstreams.announcedLeaving());
  }

  /** Forgets what a box told of itself, as it is lost. */
  void removeBox(String box) {
    upstreamLoads.setPeerLoads(box, Map.of());
    pendingPieces.removePeer(box);
  }

  /**
   * Takes in what a box tells; returns whether that orders the evacuation of other zones than
   * before, or tells of a limit or of an upstream that leaves which was not known.
   */
  boolean applyHeartbeat(String box, Heartbeat beat, long ageMillis) {
    upstreamLoads.setPeerLoads(box, beat.loadShares());
    pendingPieces.setPeerCounts(box, beat.pendingPieces());
    boolean limited = limits.merge(box, beat.limits(), ageMillis);
    boolean leaving = upstreams.applyPeerLeavingAnnouncements(box, beat.leavingUpstreams());
    return upstreams.applyEvacuations(beat.evacuations()) || limited || leaving;
  }
}
