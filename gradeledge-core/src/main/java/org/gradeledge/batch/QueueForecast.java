package org.gradeledge.batch;

import org.gradeledge.deployment.BatchLimits;

/**
 * How long what waits for one service, or is on its way to it, keeps the service's upstreams busy.
 * Admission goes by it, at this box and at those that are told. Confined to the event loop.
 */
final class QueueForecast {

  private final String service;
  private final BatchServices services;
  private final WaitingPieces waiting;
  private final BatchUpstreams upstreams;

  QueueForecast(
      String service, BatchServices services, WaitingPieces waiting, BatchUpstreams upstreams) {
    this.service = service;
    this.services = services;
    this.waiting = waiting;
    this.upstreams = upstreams;
  }

  /**
   * Returns whether a request that has cost nothing yet would come too late behind what waits, so
   * that it is better told now when to come back.
   */
  boolean firstAndTooLate(GroupInProgress group, BatchLimits limits) {
    if (!group.group().first()) {
      return false;
    }
    long now = services.clock().nanos();
    long ahead = waiting.aheadOf(group, limits.expectedMillis(1), now);
    double own = limits.expectedMillis(Math.min(group.group().pieces(), limits.itemsPerCall()));
    return !group.inTimeAfter(upstreams.backlogMillis(limits, ahead, now) + own, now);
  }

  /**
   * Returns about how long the pieces that can still be in time or are on their way, and are as
   * urgent as a priority or more, keep the upstreams busy.
   */
  long backlogMillis(int priority) {
    return services.limits(service).map(limits -> backlogMillis(limits, priority)).orElse(0L);
  }

  private long backlogMillis(BatchLimits limits, int priority) {
    long now = services.clock().nanos();
    long pieces =
        waiting.inTime(priority, limits.expectedMillis(1), now)
            + services.toCome().total(service, priority);
    return (long) upstreams.backlogMillis(limits, pieces, now);
  }
}
