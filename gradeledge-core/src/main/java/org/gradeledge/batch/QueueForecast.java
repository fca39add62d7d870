package org.gradeledge.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.gradeledge.deployment.BatchLimits;

/**
 * Forecasts how long the waiting and pending pieces of one service occupy its upstreams. Admission
 * on this box and its peers uses the forecast. Confined to the event loop.
 */
final class QueueForecast {

  /** A priority counts as active for some seconds after its last piece. */
  private static final double MIN_ACTIVE_RATE = 0.1;

  /** Due time of a priority without recent pieces: all more urgent pieces overtake it. */
  private static final double NEVER_DUE_MILLIS = 1e6;

  private static final int MAX_ITERATIONS = 50;
  private static final double MILLIS_PER_SECOND = 1e3;

  private final String service;
  private final BatchContext context;
  private final WaitingPieces waiting;
  private final BatchUpstreams upstreams;
  private final ArrivalRates arrivals;
  private final GuaranteedShares guarantees;

  /** Rates at which upstreams begin to process guaranteed pieces. */
  private final ArrivalRates guaranteedStarts;

  QueueForecast(
      String service,
      BatchContext context,
      WaitingPieces waiting,
      BatchUpstreams upstreams,
      GuaranteedShares guarantees) {
    this.arrivals = new ArrivalRates(context.clock());
    this.service = service;
    this.context = context;
    this.waiting = waiting;
    this.upstreams = upstreams;
    this.guarantees = guarantees;
    this.guaranteedStarts = new ArrivalRates(context.clock());
  }

  /** Adds to the guarantees of the priorities what has accrued since the last call. */
  void refillGuarantees(BatchLimits limits) {
    guarantees.refill(1 / upstreams.secondsPerPiece(limits), activePriorities());
  }

  private int activePriorities() {
    return (int)
        IntStream.range(0, PendingPieces.PRIORITY_LEVELS)
            .filter(level -> arrivals.ratePerSecond(level) > MIN_ACTIVE_RATE)
            .count();
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
    int priority = group.group().priority();
    double callMillis = limits.expectedMillis(1);
    double waitMillis =
        withOvertaking(
            upstreams.backlogMillis(limits, waiting.countAhead(group, callMillis, now), now),
            priority,
            group.group().dueMillis(),
            limits);
    long ofPriority = waiting.countInTime(priority, priority, callMillis, now);
    double soonestMillis =
        Math.min(waitMillis, untilGuaranteedMillis(ofPriority, priority, limits, now));
    double ownMillis =
        limits.expectedMillis(Math.min(group.group().pieces(), limits.maxItemsPerCall()));
    return !group.meetsTargetAfter(soonestMillis + ownMillis, now);
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
    double callMillis = limits.expectedMillis(1);
    long urgentPending = context.pendingPieces().total(service, priority - 1);
    long ownPending = context.pendingPieces().total(service, priority) - urgentPending;
    long ahead =
        waiting.countInTime(priority, callMillis, now)
            + waiting.countGuaranteedBelow(priority)
            + ownPending;
    double knownMillis = upstreams.backlogMillis(limits, ahead + urgentPending, now);
    double expectedMillis =
        withOvertaking(
            upstreams.backlogMillis(limits, ahead, now),
            priority,
            arrivals.meanDueMillis(priority, NEVER_DUE_MILLIS),
            limits);
    // More urgent pending pieces are among the expected arrivals and count only once.
    double millis = Math.max(knownMillis, expectedMillis);
    if (millis <= callMillis) {
      return (long) millis;
    }
    long ofPriority = waiting.countInTime(priority, priority, callMillis, now) + ownPending;
    return (long) Math.min(millis, untilGuaranteedMillis(ofPriority, priority, limits, now));
  }

  /** Returns the time after which a priority's guarantee covers one piece more than the given. */
  private double untilGuaranteedMillis(long pieces, int priority, BatchLimits limits, long now) {
    refillGuarantees(limits);
    double uncovered = Math.max(0, pieces + 1 - guarantees.credit(priority));
    double guaranteedMillis =
        upstreams.backlogMillis(limits, 0, now)
            + uncovered / guarantees.piecesPerSecond() * MILLIS_PER_SECOND;
    return Math.max(upstreams.backlogMillis(limits, pieces, now), guaranteedMillis);
  }

  /** Records a group that was submitted and not refused. */
  void recordArrival(StageGroup group) {
    arrivals.recordArrivals(group.priority(), group.pieces(), group.dueMillis());
  }

  /** Records a piece that an upstream begins to process. */
  void recordStarted(GroupInProgress group) {
    guarantees.recordStarted(group.group().priority(), group.isGuaranteed());
    if (group.isGuaranteed()) {
      guaranteedStarts.recordArrivals(group.group().priority(), 1, 0);
    }
  }

  private double guaranteedPerSecondBelow(int priority) {
    return IntStream.range(PendingPieces.level(priority) + 1, PendingPieces.PRIORITY_LEVELS)
        .mapToDouble(guaranteedStarts::ratePerSecond)
        .sum();
  }

  /**
   * Returns the expected time to process work if the more urgent pieces that arrive in the meantime
   * overtake it. A later piece does so only while it precedes the work in the order of the queue.
   */
  private double withOvertaking(
      double workMillis, int priority, double dueMillis, BatchLimits limits) {
    if (workMillis == 0) {
      return 0;
    }
    List<Overtaking> overtaking = overtaking(priority, dueMillis, limits);
    double millis = workMillis;
    for (int iteration = 0; iteration < MAX_ITERATIONS; iteration++) {
      double longer = workMillis;
      for (Overtaking each : overtaking) {
        longer += each.millisWithin(millis);
      }
      if (longer - millis < 1) {
        return longer;
      }
      millis = longer;
    }
    return millis;
  }

  /** Returns the arrivals that overtake work of a priority: urgent ones and guaranteed ones. */
  private List<Overtaking> overtaking(int priority, double dueMillis, BatchLimits limits) {
    double secondsPerPiece = upstreams.secondsPerPiece(limits);
    List<Overtaking> overtaking = new ArrayList<>();
    overtaking.add(
        new Overtaking(guaranteedPerSecondBelow(priority) * secondsPerPiece, NEVER_DUE_MILLIS));
    for (int urgent = 0; urgent < PendingPieces.level(priority); urgent++) {
      double forMillis =
          dueMillis
              - arrivals.meanDueMillis(urgent, dueMillis)
              + (priority - urgent) * GroupInProgress.MILLIS_PER_PRIORITY;
      overtaking.add(new Overtaking(arrivals.ratePerSecond(urgent) * secondsPerPiece, forMillis));
    }
    return overtaking;
  }

  /**
   * Arrivals that are processed before work that waits.
   *
   * @param share share of the upstreams' time that they take
   * @param forMillis time in which they do so
   */
  private record Overtaking(double share, double forMillis) {

    double millisWithin(double millis) {
      return share * Math.max(0, Math.min(millis, forMillis));
    }
  }
}
