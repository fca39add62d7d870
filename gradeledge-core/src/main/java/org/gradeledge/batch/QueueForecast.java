package org.gradeledge.batch;

import org.gradeledge.deployment.BatchLimits;

/**
 * Forecasts how long the waiting and pending pieces of one service occupy its upstreams. Admission
 * on this box and its peers uses the forecast. Confined to the event loop.
 */
final class QueueForecast {

  /** Lower bound, so that a burst of more urgent pieces does not block all others. */
  private static final double MIN_REMAINING_SHARE = 0.15;

  private final String service;
  private final BatchContext context;
  private final WaitingPieces waiting;
  private final BatchUpstreams upstreams;
  private final ArrivalRates arrivals;

  QueueForecast(
      String service, BatchContext context, WaitingPieces waiting, BatchUpstreams upstreams) {
    this.arrivals = new ArrivalRates(context.clock());
    this.service = service;
    this.context = context;
    this.waiting = waiting;
    this.upstreams = upstreams;
  }

  /**
   * Returns whether a group of a request without prior work would miss its target time behind the
   * waiting pieces, so that the request can be refused early with a retry delay.
   */
  boolean isUnreachableFirstGroup(GroupInProgress group, BatchLimits limits) {
    if (!group.group().first()) {
      return false;
    }
    long now = context.clock().nanos();
    long ahead = waiting.countAhead(group, limits.expectedMillis(1), now);
    double ownMillis =
        limits.expectedMillis(Math.min(group.group().pieces(), limits.maxItemsPerCall()));
    double waitMillis = upstreams.backlogMillis(limits, ahead, now);
    return !group.meetsTargetAfter(
        waitMillis / remainingShare(group.group().priority(), limits) + ownMillis, now);
  }

  /**
   * Returns the expected time to process the pending pieces and the waiting pieces that can still
   * meet their target time, of this priority or a more urgent one.
   */
  long backlogMillis(int priority) {
    return context.limits(service).map(limits -> backlogMillis(limits, priority)).orElse(0L);
  }

  private long backlogMillis(BatchLimits limits, int priority) {
    long now = context.clock().nanos();
    long pieces =
        waiting.countInTime(priority, limits.expectedMillis(1), now)
            + context.pendingPieces().total(service, priority);
    return (long) (upstreams.backlogMillis(limits, pieces, now) / remainingShare(priority, limits));
  }

  void recordArrival(StageGroup group) {
    arrivals.recordArrivals(group.priority(), group.pieces());
  }

  /**
   * Returns the share of the upstreams' time that remains for a priority after the more urgent
   * pieces that arrive in the meantime (Cobham's formula for priority queues).
   */
  private double remainingShare(int priority, BatchLimits limits) {
    double usedShare = arrivals.ratePerSecondAbove(priority) * upstreams.secondsPerPiece(limits);
    return Math.max(MIN_REMAINING_SHARE, 1 - usedShare);
  }
}
