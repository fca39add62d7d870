package org.gradeledge.mesh;

import java.util.HashMap;
import java.util.Map;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.discovery.UpstreamRegistry;

/**
 * What other boxes say of entries that are missing from the list of upstreams. Among many boxes few
 * read the list often enough to notice that it was away; the others would take what they are told,
 * or read next, for the whole truth and drop upstreams that live. Where all that read steadily
 * doubt it, what is missing stays in use, and is judged by a reading of their own once one of them
 * trusts the list again. A box that the platform turns away alone doubts it too: that counts for
 * nothing beside one that reads it. Confined to the event loop.
 */
final class ListTrustTracker {

  /** A box that doubts says so in each heartbeat; within so many of them all have heard it. */
  private static final int PROPAGATION_HEARTBEATS = 3;

  private final UpstreamRegistry upstreams;
  private final Map<String, ListTrust> reportedTrust = new HashMap<>();
  private Runnable confirmedAction = () -> {};
  private boolean distrusted;
  private int heartbeatsSinceDistrust;

  ListTrustTracker(UpstreamRegistry upstreams) {
    this.upstreams = upstreams;
  }

  /** Sets how the list is judged once it is not doubted any more. */
  void onConfirmed(Runnable action) {
    confirmedAction = action;
  }

  /** Hears what a box says of the list; returns whether it said something else before. */
  boolean update(String box, ListTrust trust) {
    ListTrust before = reportedTrust.put(box, trust);
    boolean other = before != trust;
    if (other) {
      evaluate();
    }
    return other && (before != null || trust == ListTrust.DOUBTED);
  }

  /** Forgets a box that is lost. */
  void removeBox(String box) {
    if (reportedTrust.remove(box) != null) {
      evaluate();
    }
  }

  /**
   * Takes a list over from a box that doubts it, or was told so: a list may come sooner than the
   * heartbeat of the box that has noticed the outage.
   */
  void onUnconfirmedList() {
    if (upstreams.listTrust() == ListTrust.UNKNOWN) {
      distrust();
    }
  }

  /** Notes that a heartbeat has passed. */
  void onHeartbeatInterval() {
    heartbeatsSinceDistrust++;
    if (distrusted && heartbeatsSinceDistrust > PROPAGATION_HEARTBEATS) {
      evaluate();
    }
  }

  private void evaluate() {
    boolean doubted =
        reportedTrust.containsValue(ListTrust.DOUBTED)
            && !reportedTrust.containsValue(ListTrust.TRUSTED)
            && upstreams.listTrust() == ListTrust.UNKNOWN;
    if (doubted) {
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
