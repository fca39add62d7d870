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
 * State that a box exchanges with the other boxes. Confined to the event loop.
 *
 * @param deployments configuration in force
 * @param upstreams known upstreams
 * @param upstreamLoads load and health of upstreams
 * @param pendingPieces pieces that requests in flight are going to require
 * @param quarantine requests that crash upstreams
 * @param limits rate limits announced by upstreams
 * @since 0.3
 */
public record SharedBoxState(
    DeploymentRegistry deployments,
    UpstreamRegistry upstreams,
    UpstreamLoads upstreamLoads,
    PendingPieces pendingPieces,
    Quarantine quarantine,
    UpstreamLimits limits) {

  /** Returns a heartbeat with the current state of this box. */
  Heartbeat heartbeat(
      String zone,
      boolean leaving,
      int weight,
      Map<String, List<Long>> backlogMillis,
      long sequenceNumber) {
    return new Heartbeat(
        zone,
        leaving,
        false,
        weight,
        deployments.revision(),
        upstreams.changedAt(),
        List.of(),
        upstreamLoads.ownLoads(),
        backlogMillis,
        pendingPieces.ownCounts(),
        upstreams.evacuations(),
        quarantine.digest(),
        upstreams.listTrust().code(),
        sequenceNumber,
        limits.reports(),
        upstreams.announcedLeaving());
  }

  /** Removes the state that a lost box reported. */
  void removeBox(String box) {
    upstreamLoads.setPeerLoads(box, Map.of());
    pendingPieces.removePeer(box);
  }

  /**
   * Applies the heartbeat of another box. Returns whether it changed the evacuated zones or
   * reported a limit or a leaving upstream that was not known.
   */
  boolean applyHeartbeat(String box, Heartbeat heartbeat, long ageMillis) {
    upstreamLoads.setPeerLoads(box, heartbeat.loadShares());
    pendingPieces.setPeerCounts(box, heartbeat.pendingPieces());
    boolean limitsChanged = limits.merge(box, heartbeat.limits(), ageMillis);
    boolean leavingChanged =
        upstreams.applyPeerLeavingAnnouncements(box, heartbeat.leavingUpstreams());
    return upstreams.applyEvacuations(heartbeat.evacuations()) || limitsChanged || leavingChanged;
  }
}
