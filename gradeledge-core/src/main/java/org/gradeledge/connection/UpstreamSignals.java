package org.gradeledge.connection;

import org.gradeledge.discovery.LeavingStatement;
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
    LimitAnnouncement limit, LeavingStatement leaving, BackoffAnnouncement backoff) {

  /** What an answer says that another upstream gave. */
  public static final UpstreamSignals NONE =
      new UpstreamSignals(
          LimitAnnouncement.NOTHING, LeavingStatement.NOTHING, BackoffAnnouncement.NOTHING);
}
