package org.gradeledge.connection;

import org.gradeledge.discovery.LeavingAnnouncement;
import org.gradeledge.limit.BackoffStatement;
import org.gradeledge.limit.LimitStatement;

/**
 * What the head of a response reports about the upstream, independent of the request.
 *
 * @param limit request limit of the upstream for all boxes together
 * @param leaving whether the upstream is leaving
 * @param backoff backoff requested from this box
 * @since 0.5
 */
public record UpstreamSignals(
    LimitStatement limit, LeavingAnnouncement leaving, BackoffStatement backoff) {

  /** Signals of a response that was sent by another upstream. */
  public static final UpstreamSignals NONE =
      new UpstreamSignals(
          LimitStatement.NOTHING, LeavingAnnouncement.NOTHING, BackoffStatement.NOTHING);
}
