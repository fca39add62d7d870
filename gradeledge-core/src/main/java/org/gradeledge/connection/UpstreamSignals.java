package org.gradeledge.connection;

import org.gradeledge.discovery.LeavingAnnouncement;
import org.gradeledge.limit.BackoffAnnouncement;
import org.gradeledge.limit.LimitAnnouncement;

/**
 * What the head of a response reports about the upstream, independent of the request.
 *
 * @param limit request limit of the upstream for all boxes together
 * @param leaving whether the upstream is leaving
 * @param backoff backoff requested from this box
 * @since 0.5
 */
public record UpstreamSignals(
    LimitAnnouncement limit, LeavingAnnouncement leaving, BackoffAnnouncement backoff) {

  /** Signals of a response that was sent by another upstream. */
  public static final UpstreamSignals NONE =
      new UpstreamSignals(
          LimitAnnouncement.NOTHING, LeavingAnnouncement.NOTHING, BackoffAnnouncement.NOTHING);
}
