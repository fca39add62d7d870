package org.gradeledge.batch;

import org.gradeledge.deployment.BatchLimits;

/**
 * Forecasts how long the waiting and pending pieces of one service occupy its upstreams. Admission
 * on this box and its peers uses the forecast. Confined to the event loop.
 */
final class QueueForecast {

  private static final int MAX_ITERATIONS = 50;
  private static final double MILLIS_PER_SECOND = 1e3;

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
    double waitMillis =
        withOvertaking(
            upstreams.backlogMillis(limits, ahead, now),
            group.group().priority(),
            group.group().dueMillis(),
            limits);
    return !group.meetsTargetAfter(waitMillis + ownMillis, now);
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
    long urgentPending = context.pendingPieces().total(service, priority - 1);
    long ahead =
        waiting.countInTime(priority, limits.expectedMillis(1), now)
            + context.pendingPieces().total(service, priority)
            - urgentPending;
    double knownMillis = upstreams.backlogMillis(limits, ahead + urgentPending, now);
    double expectedMillis =
        withOvertaking(
            upstreams.backlogMillis(limits, ahead, now),
            priority,
            arrivals.meanDueMillis(priority, 0),
            limits);
    // More urgent pending pieces are among the expected arrivals and count only once.
    return (long) Math.max(knownMillis, expectedMillis);
  }

  void recordArrival(StageGroup group) {
    arrivals.recordArrivals(group.priority(), group.pieces(), group.dueMillis());
  }

  /**
   * Returns the expected time to process work if the more urgent pieces that arrive in the meantime
   * overtake it. A later piece does so only while it precedes the work in the order of the queue.
   */
  private double withOvertaking(
      double workMillis, int priority, double dueMillis, BatchLimits limits) {
    double millis = workMillis;
    for (int iteration = 0; iteration < MAX_ITERATIONS; iteration++) {
      double longer = workMillis + overtakingMillis(millis, priority, dueMillis, limits);
      if (longer - millis < 1) {
        return longer;
      }
      millis = longer;
    }
    return millis;
  }

  /** Returns the time that the pieces arriving within the given time and overtaking take. */
  private double overtakingMillis(
      double withinMillis, int priority, double dueMillis, BatchLimits limits) {
    double pieces = 0;
    for (int urgent = 0; urgent < PendingPieces.level(priority); urgent++) {
      double overtakesForMillis =
          dueMillis
              - arrivals.meanDueMillis(urgent, dueMillis)
              + (priority - urgent) * GroupInProgress.MILLIS_PER_PRIORITY;
      double millis = Math.max(0, Math.min(withinMillis, overtakesForMillis));
      pieces += arrivals.ratePerSecond(urgent) * millis / MILLIS_PER_SECOND;
    }
    return pieces * upstreams.secondsPerPiece(limits) * MILLIS_PER_SECOND;
  }
}
