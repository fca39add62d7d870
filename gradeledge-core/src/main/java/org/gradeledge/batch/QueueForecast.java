package org.gradeledge.batch;

import org.gradeledge.deployment.BatchLimits;

/**
 * How long what waits for one service, or is on its way to it, keeps the service's upstreams busy.
 * Admission goes by it, at this box and at those that are told. Confined to the event loop.
 */
final class QueueForecast {

  /** More urgent arrivals come in bursts; a rate of the moment never stops all others for good. */
  private static final double LEAST_LEFT = 0.15;

  private final String service;
  private final BatchServices services;
  private final WaitingPieces waiting;
  private final BatchUpstreams upstreams;
  private final ArrivalRates arrivals;

  QueueForecast(
      String service, BatchServices services, WaitingPieces waiting, BatchUpstreams upstreams) {
    this.arrivals = new ArrivalRates(services.clock());
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
    double own = limits.expectedMillis(Math.min(group.group().pieces(), limits.maxItemsPerCall()));
    double wait = upstreams.backlogMillis(limits, ahead, now);
    return !group.inTimeAfter(wait / leftFor(group.group().priority(), limits) + own, now);
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
    return (long) (upstreams.backlogMillis(limits, pieces, now) / leftFor(priority, limits));
  }

  /** Counts pieces that have just been handed to the service. */
  void arrived(StageGroup group) {
    arrivals.arrived(group.priority(), group.pieces());
  }

  /**
   * Returns the part of the upstreams' time that is left for what is no more urgent than a
   * priority: while it waits, more urgent pieces go on arriving and go before it (the wait of a
   * priority queue, as A. Cobham gave it in 1954).
   */
  private double leftFor(int priority, BatchLimits limits) {
    double taken = arrivals.perSecondBefore(priority) * upstreams.secondsOfPiece(limits);
    return Math.max(LEAST_LEFT, 1 - taken);
  }
}
