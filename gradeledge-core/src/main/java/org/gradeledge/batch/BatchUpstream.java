package org.gradeledge.batch;

import java.time.Duration;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.time.FadingAverage;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/** The calls in flight to one upstream and its observed speed. Confined to the event loop. */
final class BatchUpstream {

  private static final double SMOOTHING_FACTOR = 0.4;
  private static final double CONFIGURED_SPEED = 1;

  /** Longer than the time between two calls to an upstream that is in use. */
  private static final Duration TRUSTED = Duration.ofSeconds(1);

  private static final Duration HALF_LIFE = Duration.ofSeconds(1);

  /** Bounds the calls to an upstream while connections to it fail at once. */
  private static final Duration UNSENT_CALL_PAUSE = Duration.ofMillis(100);

  private final UpstreamRecord upstream;
  private int calls;
  private long reservedBytes;
  private final FadingAverage slowdown;
  private long freeAtNanos;
  private @Nullable Long pausedUntilNanos;

  BatchUpstream(UpstreamRecord upstream, MonotonicClock clock) {
    this.upstream = upstream;
    this.slowdown = new FadingAverage(clock, SMOOTHING_FACTOR, TRUSTED, HALF_LIFE);
    slowdown.observe(CONFIGURED_SPEED, CONFIGURED_SPEED);
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
    return limits.expectedMillis(items) * slowdown();
  }

  /** Returns the expected time until a call that waits for this upstream completes. */
  double millisUntilCompletion(BatchLimits limits, int items, long nowNanos) {
    double wait = hasFreeSlot(limits) ? 0 : Math.max(0, (freeAtNanos - nowNanos) / 1e6);
    return Math.max(wait, pauseMillis(nowNanos)) + expectedMillis(limits, items);
  }

  /** Pauses calls for a short time after one that could not be sent. */
  void pauseAfterUnsentCall(long nowNanos) {
    pausedUntilNanos = nowNanos + UNSENT_CALL_PAUSE.toNanos();
  }

  /** Returns whether calls are paused. */
  boolean isPaused(long nowNanos) {
    return pauseMillis(nowNanos) > 0;
  }

  private double pauseMillis(long nowNanos) {
    return pausedUntilNanos == null ? 0 : Math.max(0, (pausedUntilNanos - nowNanos) / 1e6);
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
    return slowdown.value(CONFIGURED_SPEED);
  }

  /** Records the ratio of a call's duration to the configured one. */
  void recordSlowdown(double ratio) {
    slowdown.observe(ratio, CONFIGURED_SPEED);
  }
}
