package org.gradeledge.batch;

import org.gradeledge.deployment.BatchLimits;

/**
 * How long what waits for one service, or is on its way to it, keeps the service's upstreams busy.
 * Admission goes by it, at this box and at those that are told. Confined to the event loop.
 */
final class QueueForecast {

  /** More urgent arrivals come in bursts; a rate of the moment never stops all others for good. */
  private static final double MIN_REMAINING_SHARE = 0.15;

  private final String service;
  private final BatchContext context;
  private final WaitingPieces waiting;
  private final BatchUpstreams upstreams;
  private final ArrivalRates arrivals;

  QueueForecast(
      String service, BatchContext services, WaitingPieces waiting, BatchUpstreams upstreams) {
    this.arrivals = new ArrivalRates(services.clock());
    this.service = service;
    this.context = services;
    this.waiting = waiting;
    this.upstreams = upstreams;
  }

  /**
   * Returns whether a request that has cost nothing yet would come too late behind what waits, so
   * that it is better told now when to come back.
   */
  boolean isUnreachableFirstGroup(GroupInProgress group, BatchLimits limits) {
    if (!group.group().first()) {
      return false;
    }
    long now = context.clock().nanos();
    long ahead = waiting.countAhead(group, limits.expectedMillis(1), now);
    double own = limits.expectedMillis(Math.min(group.group().pieces(), limits.maxItemsPerCall()));
    double wait = upstreams.backlogMillis(limits, ahead, now);
    return !group.meetsTargetAfter(
        wait / remainingShare(group.group().priority(), limits) + own, now);
  }

  /**
   * Returns about how long the pieces that can still be in time or are on their way, and are as
   * urgent as a priority or more, keep the upstreams busy.
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

  /** Counts pieces that have just been handed to the service. */
  void recordArrival(StageGroup group) {
    arrivals.recordArrivals(group.priority(), group.pieces());
  }

  /**
   * Returns the part of the upstreams' time that is left for what is no more urgent than a
   * priority: while it waits, more urgent pieces go on arriving and go before it (the wait of a
   * priority queue, as A. Cobham gave it in 1954).
   */
  private double remainingShare(int priority, BatchLimits limits) {
    double taken = arrivals.ratePerSecondAbove(priority) * upstreams.secondsPerPiece(limits);
    return Math.max(MIN_REMAINING_SHARE, 1 - taken);
  }
}
