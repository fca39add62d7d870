package org.gradeledge.connection;

import org.gradeledge.discovery.LeavingAnnouncement;
import org.gradeledge.limit.BackoffAnnouncement;
import org.gradeledge.limit.LimitAnnouncement;

/**
 * What the head of one answer says of the upstream that gave it, whatever the request was.
 *
 * @param limit how many requests it takes from all boxes together
 * @param leaving whether it leaves
 * @param backoff for how long it wants nothing from this box
 * @since 0.5
 */
public record UpstreamSignals(
    LimitAnnouncement limit, LeavingAnnouncement leaving, BackoffAnnouncement backoff) {

  /** What an answer says that another upstream gave. */
  public static final UpstreamSignals NONE =
      new UpstreamSignals(
          LimitAnnouncement.NOTHING, LeavingAnnouncement.NOTHING, BackoffAnnouncement.NOTHING);
}
