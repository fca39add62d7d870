package org.gradeledge.mesh;

import java.util.HashMap;
import java.util.Map;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.discovery.UpstreamRegistry;

/**
 * Tracks whether other boxes distrust removals from the list of upstreams. Where heartbeats are
 * relayed, most boxes read the list too rarely to notice that it was unavailable, and would remove
 * live upstreams that are missing from it. While at least one box distrusts the list and no box
 * trusts it, missing upstreams stay in use; afterwards the next list that this box reads itself
 * decides. Confined to the event loop.
 */
final class ListTrustTracker {

  /** Number of heartbeat intervals within which the distrust of a box reaches all others. */
  private static final int PROPAGATION_HEARTBEATS = 3;

  private final UpstreamRegistry upstreams;
  private final Map<String, ListTrust> reportedTrust = new HashMap<>();
  private Runnable confirmedAction = () -> {};
  private boolean distrusted;
  private int heartbeatsSinceDistrust;

  ListTrustTracker(UpstreamRegistry upstreams) {
    this.upstreams = upstreams;
  }

  /** Sets the action to run once the list is no longer distrusted. */
  void onConfirmed(Runnable action) {
    confirmedAction = action;
  }

  /**
   * Records the trust that a box reports. Returns whether it differs from the previous report; a
   * first report counts only if it is distrust.
   */
  boolean update(String box, ListTrust trust) {
    ListTrust before = reportedTrust.put(box, trust);
    boolean changed = before != trust;
    if (changed) {
      evaluate();
    }
    return changed && (before != null || trust == ListTrust.DOUBTED);
  }

  void removeBox(String box) {
    if (reportedTrust.remove(box) != null) {
      evaluate();
    }
  }

  /**
   * Distrusts removals after a list with unconfirmed entries was received, which may arrive before
   * the heartbeat of the box that noticed the outage.
   */
  void onUnconfirmedList() {
    if (upstreams.listTrust() == ListTrust.UNKNOWN) {
      distrust();
    }
  }

  void onHeartbeatInterval() {
    heartbeatsSinceDistrust++;
    if (distrusted && heartbeatsSinceDistrust > PROPAGATION_HEARTBEATS) {
      evaluate();
    }
  }

  private void evaluate() {
    boolean distrustedByPeers =
        reportedTrust.containsValue(ListTrust.DOUBTED)
            && !reportedTrust.containsValue(ListTrust.TRUSTED)
            && upstreams.listTrust() == ListTrust.UNKNOWN;
    if (distrustedByPeers) {
      distrust();
    } else if (distrusted) {
      distrusted = false;
      confirmedAction.run();
    }
  }

  private void distrust() {
    if (!distrusted) {
      distrusted = true;
      heartbeatsSinceDistrust = 0;
    }
    upstreams.distrustRemovalsReportedByPeer();
  }
}
