package org.gradeledge.selection;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Load and health of one incarnation of an upstream. Confined to the event loop. */
final class UpstreamLoad {

  private static final double SMOOTHING_FACTOR = 0.2;
  private static final double FAILURE_WEIGHT = 4;
  private static final int FAILURES_TO_AVOID = 3;
  private static final long INITIAL_AVOIDANCE_MILLIS = 500;
  private static final long MAX_AVOIDANCE_MILLIS = 4_000;

  private final Map<String, BoxLoad> loadByPeer = new HashMap<>();
  private int inFlightAtPeers;
  private long memoryAtPeers;
  private int inFlight;
  private long memory;
  private double latencyMillis;
  private double failureRate;
  private int consecutiveFailures;
  private long avoidanceMillis = INITIAL_AVOIDANCE_MILLIS;
  private long avoidedUntilNanos = Long.MIN_VALUE;

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
    failureRate *= 1 - SMOOTHING_FACTOR;
    latencyMillis += latencyMillis == 0 ? millis : SMOOTHING_FACTOR * (millis - latencyMillis);
  }

  /** Records a failure; returns whether the upstream is avoided from now on. */
  boolean recordFailure(boolean certain, long nowNanos) {
    consecutiveFailures++;
    failureRate += SMOOTHING_FACTOR * (1 - failureRate);
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

  /** Returns the smoothed latency, zero before the first measurement. */
  double latencyMillis() {
    return latencyMillis;
  }

  /** Returns the expected duration of a request, increased by the rate of failures. */
  double expectedMillis(double defaultMillis) {
    double latency = latencyMillis == 0 ? defaultMillis : latencyMillis;
    return latency * (1 + FAILURE_WEIGHT * failureRate);
  }
}
