package org.gradeledge.batch;

import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;

/** The calls in flight to one upstream and its observed speed. Confined to the event loop. */
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

  /** Returns the expected time until a call that waits for this upstream completes. */
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

  /** Returns the estimated ratio of a call's duration to the configured one. */
  double slowdown() {
    return slowdown;
  }

  /** Records the ratio of a call's duration to the configured one. */
  void recordSlowdown(double ratio) {
    slowdown += SMOOTHING_FACTOR * (ratio - slowdown);
  }
}
