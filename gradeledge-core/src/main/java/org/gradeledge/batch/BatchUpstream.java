package org.gradeledge.batch;

import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;

/** One upstream that makes pieces, as the box that calls it sees it. Confined to the event loop. */
final class BatchUpstream {

  private static final double SMOOTHING_FACTOR = 0.4;

  private final UpstreamRecord upstream;
  private int calls;
  private long reservedBytes;
  private double slowdown = 1;
  private long freeAtNanos;

  BatchUpstream(UpstreamRecord upstream) {
    this.upstream = upstream;
  }

  UpstreamRecord upstream() {
    return upstream;
  }

  boolean hasFreeSlot(BatchLimits limits) {
    return calls < limits.maxConcurrentCalls();
  }

  long reservedBytes() {
    return reservedBytes;
  }

  double expectedMillis(BatchLimits limits, int items) {
    return limits.expectedMillis(items) * slowdown;
  }

  /** Returns about when a call that waits for this upstream would end, from now. */
  double millisUntilCompletion(BatchLimits limits, int items, long nowNanos) {
    double wait = hasFreeSlot(limits) ? 0 : Math.max(0, (freeAtNanos - nowNanos) / 1e6);
    return wait + expectedMillis(limits, items);
  }

  void callStarted(long bytes, double millis, long nowNanos) {
    calls++;
    reservedBytes += bytes;
    freeAtNanos = nowNanos + (long) (millis * 1e6);
  }

  void callEnded(long bytes) {
    calls--;
    reservedBytes -= bytes;
  }

  /** Takes in how a call's time compares with what the configuration says. */
  void recordSlowdown(double ratio) {
    slowdown += SMOOTHING_FACTOR * (ratio - slowdown);
  }
}
