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
final class ListDoubts {

  /** A box that doubts says so in each heartbeat; within so many of them all have heard it. */
  private static final int BEATS_TO_HEAR = 3;

  private final UpstreamRegistry upstreams;
  private final Map<String, ListTrust> told = new HashMap<>();
  private Runnable onSettled = () -> {};
  private boolean inDoubt;
  private int beatsInDoubt;

  ListDoubts(UpstreamRegistry upstreams) {
    this.upstreams = upstreams;
  }

  /** Sets how the list is judged once it is not doubted any more. */
  void onSettled(Runnable action) {
    onSettled = action;
  }

  /** Hears what a box says of the list; returns whether it said something else before. */
  boolean heard(String box, ListTrust trust) {
    ListTrust before = told.put(box, trust);
    boolean other = before != trust;
    if (other) {
      look();
    }
    return other && (before != null || trust == ListTrust.DOUBTED);
  }

  /** Forgets a box that is lost. */
  void lost(String box) {
    if (told.remove(box) != null) {
      look();
    }
  }

  /**
   * Takes a list over from a box that doubts it, or was told so: a list may come sooner than the
   * heartbeat of the box that has noticed the outage.
   */
  void tookDoubtedList() {
    if (upstreams.listTrust() == ListTrust.UNKNOWN) {
      doubt();
    }
  }

  /** Notes that a heartbeat has passed. */
  void beat() {
    beatsInDoubt++;
    if (inDoubt && beatsInDoubt > BEATS_TO_HEAR) {
      look();
    }
  }

  private void look() {
    boolean doubted =
        told.containsValue(ListTrust.DOUBTED)
            && !told.containsValue(ListTrust.TRUSTED)
            && upstreams.listTrust() == ListTrust.UNKNOWN;
    if (doubted) {
      doubt();
    } else if (inDoubt) {
      inDoubt = false;
      onSettled.run();
    }
  }

  private void doubt() {
    if (!inDoubt) {
      inDoubt = true;
      beatsInDoubt = 0;
    }
    upstreams.distrustRemovalsReportedByPeer();
  }
}
