package org.gradeledge.selection;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.gradeledge.time.FadingAverage;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/** Load and health of one incarnation of an upstream. Confined to the event loop. */
final class UpstreamLoad {

  private static final double SMOOTHING_FACTOR = 0.2;
  private static final double FAILURE_WEIGHT = 4;

  /** Longer than the time between two requests to an upstream that is in use. */
  private static final Duration TRUSTED = Duration.ofSeconds(2);

  private static final Duration HALF_LIFE = Duration.ofSeconds(2);
  private static final int FAILURES_TO_AVOID = 3;
  private static final long INITIAL_AVOIDANCE_MILLIS = 500;
  private static final long MAX_AVOIDANCE_MILLIS = 4_000;

  private final Map<String, BoxLoad> loadByPeer = new HashMap<>();
  private int inFlightAtPeers;
  private long memoryAtPeers;
  private int inFlight;
  private long memory;
  private final FadingAverage latencyMillis;
  private final FadingAverage failureRate;
  private int consecutiveFailures;
  private long avoidanceMillis = INITIAL_AVOIDANCE_MILLIS;
  private long avoidedUntilNanos = Long.MIN_VALUE;

  UpstreamLoad(MonotonicClock clock) {
    latencyMillis = new FadingAverage(clock, SMOOTHING_FACTOR, TRUSTED, HALF_LIFE);
    failureRate = new FadingAverage(clock, SMOOTHING_FACTOR, TRUSTED, HALF_LIFE);
    failureRate.observe(0, 0);
  }

  void recordStart(long requestMemory) {
    inFlight++;
    memory += requestMemory;
  }

  void recordEnd(long requestMemory) {
    inFlight--;
    memory -= requestMemory;
  }

  void recordSuccess(double millis) {
    consecutiveFailures = 0;
    avoidanceMillis = INITIAL_AVOIDANCE_MILLIS;
    failureRate.observe(0, 0);
    latencyMillis.observe(millis, latencyMillis());
  }

  /** Records a failure; returns whether the upstream is avoided from now on. */
  boolean recordFailure(boolean certain, long nowNanos) {
    consecutiveFailures++;
    failureRate.observe(1, 0);
    if (!certain && consecutiveFailures < FAILURES_TO_AVOID) {
      return false;
    }
    avoidFor(avoidanceMillis, nowNanos);
    avoidanceMillis = Math.min(MAX_AVOIDANCE_MILLIS, avoidanceMillis * 2);
    return true;
  }

  void avoidFor(long millis, long nowNanos) {
    avoidedUntilNanos = Math.max(avoidedUntilNanos, nowNanos + millis * 1_000_000);
  }

  boolean isAvoided(long nowNanos) {
    return avoidedUntilNanos != Long.MIN_VALUE && nowNanos - avoidedUntilNanos < 0;
  }

  void setPeerLoad(String box, BoxLoad load) {
    subtract(loadByPeer.put(box, load));
    inFlightAtPeers += load.inFlight();
    memoryAtPeers += load.memory();
  }

  void removePeerLoad(String box) {
    subtract(loadByPeer.remove(box));
  }

  private void subtract(@Nullable BoxLoad load) {
    if (load != null) {
      inFlightAtPeers -= load.inFlight();
      memoryAtPeers -= load.memory();
    }
  }

  BoxLoad ownLoad() {
    return new BoxLoad(inFlight, memory);
  }

  /** Adds memory that is in use without a request in flight; negative to release it. */
  void adjustMemory(long delta) {
    memory = Math.max(0, memory + delta);
  }

  int inFlightAtPeers() {
    return inFlightAtPeers;
  }

  long memoryAtPeers() {
    return memoryAtPeers;
  }

  int totalInFlight() {
    return inFlight + inFlightAtPeers();
  }

  long totalMemory() {
    return memory + memoryAtPeers();
  }

  /** Returns the smoothed latency whatever its age, zero before the first measurement. */
  double latencyMillis() {
    return latencyMillis.latest().orElse(0);
  }

  /**
   * Returns the expected duration of a request, increased by the rate of failures.
   *
   * @param defaultMillis duration that is expected if there is no recent measurement
   */
  double expectedMillis(double defaultMillis) {
    return latencyMillis.value(defaultMillis) * (1 + FAILURE_WEIGHT * failureRate.value(0));
  }
}
