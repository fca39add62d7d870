package org.gradeledge.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gradeledge.deployment.BatchLimits;

/** Selects the upstreams of one service to call next. Confined to the event loop. */
final class BatchUpstreams {

  private static final double SLOWDOWN_TOLERANCE = 1.15;

  /**
   * Leaves a reserve, as result sizes are approximate and releases by peers are reported late. With
   * 0.85 eight results fit where there is memory for ten, and 7.5 instead of 6.2 of 1,000 pieces
   * find no memory.
   */
  private static final double USABLE_MEMORY_SHARE = 0.97;

  private static final double MILLIS_PER_SECOND = 1e3;

  /** Each call is followed by about one release, which also counts as a request. */
  private static final double CALLS_PER_REQUEST = 0.5;

  private final String service;
  private final BatchContext context;
  private final ResultMemory resultMemory;
  private final Map<String, BatchUpstream> byIncarnation = new HashMap<>();

  BatchUpstreams(String service, BatchContext context, ResultMemory resultMemory) {
    this.service = service;
    this.context = context;
    this.resultMemory = resultMemory;
  }

  /**
   * Returns the upstreams that have a free slot and free memory, fastest first, without those that
   * are slower than waiting for another upstream.
   */
  List<BatchUpstream> candidates(BatchLimits limits, int items, long now) {
    List<BatchUpstream> upstreams = withMemory(usable(), limits);
    double earliestMillis = earliestCompletionMillis(upstreams, limits, items, now);
    Comparator<BatchUpstream> fastest =
        Comparator.comparingDouble(each -> each.expectedMillis(limits, items));
    return upstreams.stream()
        .filter(each -> hasFreeSlot(each, limits) && !each.isPaused(now))
        .filter(each -> context.sendLimiter().admits(each.upstream()))
        .filter(each -> each.expectedMillis(limits, items) <= earliestMillis * SLOWDOWN_TOLERANCE)
        .sorted(fastest.thenComparingLong(this::occupiedBytes))
        .toList();
  }

  /** Returns why each upstream without a call is idle although pieces wait. */
  List<UnusedCause> idleCauses(WaitingPieces waiting, BatchLimits limits, long now) {
    int items = Math.min(waiting.size(), limits.maxItemsPerCall());
    List<BatchUpstream> available = usable();
    double earliestMillis =
        earliestCompletionMillis(withMemory(available, limits), limits, items, now);
    List<BatchUpstream> paused = available.stream().filter(each -> each.isPaused(now)).toList();
    long avoided = context.upstreams().usable(service).size() - available.size() + paused.size();
    ZoneAffinity affinity = zoneAffinity(waiting, limits, now);
    return Stream.concat(
            Stream.generate(() -> UnusedCause.AVOIDED).limit(avoided),
            available.stream()
                .filter(each -> each.hasFreeSlot(limits) && !paused.contains(each))
                .map(each -> idleCause(each, waiting, affinity, limits, earliestMillis)))
        .toList();
  }

  private UnusedCause idleCause(
      BatchUpstream idle,
      WaitingPieces waiting,
      ZoneAffinity affinity,
      BatchLimits limits,
      double earliestMillis) {
    int items = Math.min(waiting.size(), limits.maxItemsPerCall());
    if (!hasFreeSlot(idle, limits)) {
      return UnusedCause.PEER_CALL;
    }
    if (context.sendLimiter().millisUntilAdmitted(idle.upstream(), 0) > 0) {
      return UnusedCause.LIMIT;
    }
    if (freeBytes(idle, limits) <= 0) {
      return UnusedCause.MEMORY;
    }
    if (idle.expectedMillis(limits, items) > earliestMillis * SLOWDOWN_TOLERANCE) {
      return UnusedCause.SLOW;
    }
    return unfilledCause(idle, freeBytes(idle, limits), waiting, affinity);
  }

  /** Returns why waiting pieces do not use the remaining places and memory of a call. */
  UnusedCause unfilledCause(
      BatchUpstream target, long freeBytes, WaitingPieces waiting, ZoneAffinity affinity) {
    List<GroupInProgress> eligible =
        waiting.groups().stream().filter(affinity.eligibleIn(target.upstream().zone())).toList();
    if (eligible.isEmpty()) {
      return UnusedCause.LOCALITY;
    }
    boolean onePieceFits =
        eligible.stream().anyMatch(each -> each.group().resultBytes() <= freeBytes);
    return onePieceFits ? UnusedCause.GROUP : UnusedCause.MEMORY;
  }

  private List<BatchUpstream> withMemory(List<BatchUpstream> upstreams, BatchLimits limits) {
    return upstreams.stream().filter(each -> freeBytes(each, limits) > 0).toList();
  }

  private double earliestCompletionMillis(
      List<BatchUpstream> upstreams, BatchLimits limits, int items, long now) {
    return upstreams.stream()
        .mapToDouble(each -> millisUntilCompletion(each, limits, items, now))
        .min()
        .orElse(0);
  }

  /** Returns the expected time to process the given number of pieces after the calls in flight. */
  double backlogMillis(BatchLimits limits, long pieces, long now) {
    List<BatchUpstream> upstreams = usable();
    if (upstreams.isEmpty()) {
      return Double.MAX_VALUE;
    }
    double fullCalls = Math.ceil((double) pieces / limits.maxItemsPerCall());
    double work = fullCalls * limits.fixedCallMillis() + pieces * limits.millisPerItem();
    double earliestFreeMillis =
        upstreams.stream()
                .mapToDouble(each -> millisUntilCompletion(each, limits, 0, now))
                .min()
                .orElse(0)
            - limits.expectedMillis(0);
    double meanSlowdown =
        upstreams.stream().mapToDouble(each -> each.expectedMillis(limits, 1)).average().orElse(0)
            / limits.expectedMillis(1);
    return Math.max(0, earliestFreeMillis)
        + work * meanSlowdown / effectiveUpstreams(upstreams, limits);
  }

  int usableCount() {
    return usable().size();
  }

  /** Returns the highest ratio of observed to configured call time among the upstreams. */
  double highestSlowdown() {
    return usable().stream().mapToDouble(BatchUpstream::slowdown).max().orElse(1);
  }

  /** Returns the mean time per piece in full calls to all upstreams. */
  double secondsPerPiece(BatchLimits limits) {
    int maxItems = limits.maxItemsPerCall();
    double upstreamSeconds = limits.expectedMillis(maxItems) / maxItems / MILLIS_PER_SECOND;
    return upstreamSeconds / Math.max(1, effectiveUpstreams(usable(), limits));
  }

  /** Returns the expected time until a call completes, including the wait for the send limiter. */
  private double millisUntilCompletion(
      BatchUpstream target, BatchLimits limits, int items, long now) {
    double admissionMillis = context.sendLimiter().millisUntilAdmitted(target.upstream(), 0);
    return Math.max(
        target.millisUntilCompletion(limits, items, now),
        admissionMillis + target.expectedMillis(limits, items));
  }

  /**
   * Returns the number of unlimited upstreams with the same throughput; a limited one counts in
   * part. If no upstream accepts calls now, all count in full, as callers add the wait for the
   * first one.
   */
  private double effectiveUpstreams(List<BatchUpstream> upstreams, BatchLimits limits) {
    double effective = effectiveUpstreamsNow(upstreams, limits);
    return effective > 0 ? effective : upstreams.size();
  }

  private double effectiveUpstreamsNow(List<BatchUpstream> upstreams, BatchLimits limits) {
    return upstreams.stream()
        .mapToDouble(
            each -> {
              double callsPerSecond =
                  context.sendLimiter().requestsPerSecond(each.upstream()) * CALLS_PER_REQUEST;
              double fullCallMillis = each.expectedMillis(limits, limits.maxItemsPerCall());
              return Math.min(1, callsPerSecond * fullCallMillis / MILLIS_PER_SECOND);
            })
        .sum();
  }

  /** Returns the free memory for results at an upstream. */
  long freeBytes(BatchUpstream target, BatchLimits limits) {
    return resultMemory.isFull(target.upstream().incarnationId())
        ? 0
        : (long) (limits.memoryBytes() * USABLE_MEMORY_SHARE) - occupiedBytes(target);
  }

  /** Returns whether an upstream stores no results and has not reported that it is full. */
  boolean storesNothing(BatchUpstream target) {
    return occupiedBytes(target) == 0 && !resultMemory.isFull(target.upstream().incarnationId());
  }

  /** Counts calls of peers as well: the previous owner of the service may have calls in flight. */
  private boolean hasFreeSlot(BatchUpstream target, BatchLimits limits) {
    int peerCalls = context.loads().inFlightAtPeers(target.upstream());
    return target.hasFreeSlot(limits) && peerCalls < limits.maxConcurrentCalls();
  }

  /** Returns which groups the upstreams of each zone may process now. */
  ZoneAffinity zoneAffinity(WaitingPieces waiting, BatchLimits limits, long now) {
    return new ZoneAffinity(waiting.groups(), placesByZone(limits), limits, now);
  }

  /** Returns how many pieces the next calls to the upstreams of each zone take. */
  private Map<String, Double> placesByZone(BatchLimits limits) {
    return usable().stream()
        .collect(
            Collectors.groupingBy(
                each -> each.upstream().zone(),
                Collectors.summingDouble(
                    each -> limits.maxItemsPerCall() / Math.max(1, each.slowdown()))));
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
                    each.incarnationId(), incarnation -> new BatchUpstream(each, context.clock())))
        .toList();
  }
}
