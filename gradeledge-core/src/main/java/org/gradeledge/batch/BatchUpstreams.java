package org.gradeledge.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.gradeledge.deployment.BatchLimits;

/** The upstreams of one service and which of them to call next. Confined to the event loop. */
final class BatchUpstreams {

  private static final double SLOWDOWN_TOLERANCE = 1.15;

  /**
   * Results are told with about their size, and what a box knows of room that others gave up lags
   * by a call, so that a little is left. With 0.85 eight results fitted where there is room for
   * ten, and room is what binds under load; pieces that find none rose from 6.2 to 7.5 of 1,000.
   */
  private static final double USABLE_MEMORY_SHARE = 0.97;

  private static final double URGENT_CALLS = 2;
  private static final double MILLIS_PER_SECOND = 1e3;

  /** Each call's results are given up by a release or so, which counts as a request too. */
  private static final double CALLS_PER_REQUEST = 0.5;

  private final String service;
  private final BatchContext context;
  private final ResultMemory resultMemory;
  private final Map<String, BatchUpstream> byIncarnation = new HashMap<>();

  BatchUpstreams(String service, BatchContext services, ResultMemory held) {
    this.service = service;
    this.context = services;
    this.resultMemory = held;
  }

  /**
   * Returns the upstreams that are free and have room, fastest first; one so slow that waiting for
   * another would be faster is left out.
   */
  List<BatchUpstream> candidates(BatchLimits limits, int items, long now) {
    List<BatchUpstream> known =
        usable().stream().filter(each -> freeBytes(each, limits) > 0).toList();
    double soonest =
        known.stream()
            .mapToDouble(each -> millisUntilCompletion(each, limits, items, now))
            .min()
            .orElse(0);
    Comparator<BatchUpstream> fastest =
        Comparator.comparingDouble(each -> each.expectedMillis(limits, items));
    return known.stream()
        .filter(each -> hasFreeSlot(each, limits) && context.sendingRule().admits(each.upstream()))
        .filter(each -> each.expectedMillis(limits, items) <= soonest * SLOWDOWN_TOLERANCE)
        .sorted(fastest.thenComparingLong(this::occupiedBytes))
        .toList();
  }

  /** Returns about how long so many pieces keep all upstreams busy, what is under way included. */
  double backlogMillis(BatchLimits limits, long pieces, long now) {
    List<BatchUpstream> known = usable();
    if (known.isEmpty()) {
      return Double.MAX_VALUE;
    }
    double fullCalls = Math.ceil((double) pieces / limits.maxItemsPerCall());
    double work = fullCalls * limits.fixedCallMillis() + pieces * limits.millisPerItem();
    double soonestFree =
        known.stream()
                .mapToDouble(each -> millisUntilCompletion(each, limits, 0, now))
                .min()
                .orElse(0)
            - limits.expectedMillis(0);
    double slowness =
        known.stream().mapToDouble(each -> each.expectedMillis(limits, 1)).average().orElse(0)
            / limits.expectedMillis(1);
    return Math.max(0, soonestFree) + work * slowness / effectiveUpstreams(known, limits);
  }

  /** Returns the time of all upstreams together that a piece takes in full calls. */
  double secondsPerPiece(BatchLimits limits) {
    int most = limits.maxItemsPerCall();
    double each = limits.expectedMillis(most) / most / MILLIS_PER_SECOND;
    return each / Math.max(1, effectiveUpstreams(usable(), limits));
  }

  /** Returns about when a call would end, from now, also where its upstream names a limit. */
  private double millisUntilCompletion(
      BatchUpstream each, BatchLimits limits, int items, long now) {
    double turn = context.sendingRule().millisUntilAdmitted(each.upstream(), 0);
    return Math.max(
        each.millisUntilCompletion(limits, items, now), turn + each.expectedMillis(limits, items));
  }

  /**
   * Returns how many upstreams without limits make as much as these: one that takes fewer calls
   * than it could make counts for a part. Where none takes any now, all count, as the wait for the
   * first of them is counted besides.
   */
  private double effectiveUpstreams(List<BatchUpstream> known, BatchLimits limits) {
    double whole = effectiveUpstreamsNow(known, limits);
    return whole > 0 ? whole : known.size();
  }

  private double effectiveUpstreamsNow(List<BatchUpstream> known, BatchLimits limits) {
    return known.stream()
        .mapToDouble(
            each -> {
              double calls =
                  context.sendingRule().requestsPerSecond(each.upstream()) * CALLS_PER_REQUEST;
              double full = each.expectedMillis(limits, limits.maxItemsPerCall());
              return Math.min(1, calls * full / MILLIS_PER_SECOND);
            })
        .sum();
  }

  /** Returns the room for results that an upstream has left. */
  long freeBytes(BatchUpstream target, BatchLimits limits) {
    return resultMemory.isFull(target.upstream().incarnationId())
        ? 0
        : (long) (limits.memoryBytes() * USABLE_MEMORY_SHARE) - occupiedBytes(target);
  }

  /** Another box may still be calling the upstream, as it did this work until a moment ago. */
  private boolean hasFreeSlot(BatchUpstream target, BatchLimits limits) {
    int others = context.loads().inFlightAtPeers(target.upstream());
    return target.hasFreeSlot(limits) && others < limits.maxConcurrentCalls();
  }

  /**
   * Returns whose pieces an upstream may make now. Pieces wait a while for an upstream of the zone
   * that their inputs lie in or their results are wanted in (delay scheduling), unless they are in
   * a hurry.
   */
  Predicate<GroupInProgress> eligibility(BatchUpstream target, BatchLimits limits, long now) {
    Set<String> zones =
        usable().stream().map(each -> each.upstream().zone()).collect(Collectors.toSet());
    double hurryMillis = limits.expectedMillis(1) * URGENT_CALLS;
    return group ->
        group.zone().isEmpty()
            || group.zone().equals(target.upstream().zone())
            || group.waitedMillis(now) >= group.localityWaitMillis()
            || !group.meetsTargetAfter(hurryMillis, now)
            || !zones.contains(group.zone());
  }

  private long occupiedBytes(BatchUpstream target) {
    return resultMemory.bytesAt(target.upstream().incarnationId())
        + target.reservedBytes()
        + context.loads().memoryAtPeers(target.upstream());
  }

  private List<BatchUpstream> usable() {
    byIncarnation.values().removeIf(each -> !context.upstreams().isUsable(each.upstream()));
    return context.loads().preferred(context.upstreams().usable(service)).stream()
        .map(
            each ->
                byIncarnation.computeIfAbsent(
                    each.incarnationId(), start -> new BatchUpstream(each)))
        .toList();
  }
}
