package org.gradeledge.selection;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What the box knows of one upstream's load and health. Confined to the event loop. */
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
  private long lastActivityNanos;

  void recordStart(long demandedTokens) {
    inFlight++;
    memory += demandedTokens;
  }

  void recordEnd(long demandedTokens) {
    inFlight--;
    memory -= demandedTokens;
  }

  void recordSuccess(double millis) {
    consecutiveFailures = 0;
    avoidanceMillis = INITIAL_AVOIDANCE_MILLIS;
    failureRate *= 1 - SMOOTHING_FACTOR;
    latencyMillis += latencyMillis == 0 ? millis : SMOOTHING_FACTOR * (millis - latencyMillis);
  }

  /** Counts a failure; returns whether the upstream is avoided from now on. */
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

  void recordActivity(long nowNanos) {
    lastActivityNanos = nowNanos;
  }

  long silentMillis(long nowNanos) {
    return (nowNanos - lastActivityNanos) / 1_000_000;
  }

  void setPeerLoad(String box, BoxLoad share) {
    subtract(loadByPeer.put(box, share));
    inFlightAtPeers += share.inFlight();
    memoryAtPeers += share.memory();
  }

  void removePeerLoad(String box) {
    subtract(loadByPeer.remove(box));
  }

  private void subtract(@Nullable BoxLoad share) {
    if (share != null) {
      inFlightAtPeers -= share.inFlight();
      memoryAtPeers -= share.memory();
    }
  }

  BoxLoad ownLoad() {
    return new BoxLoad(inFlight, memory);
  }

  /** Counts memory that is taken although no request is under way, or given back. */
  void adjustMemory(long demandedTokens) {
    memory = Math.max(0, memory + demandedTokens);
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

  /** Returns the usual time of a request there, zero if none was measured. */
  double latencyMillis() {
    return latencyMillis;
  }

  /** Returns about how long a request takes there, failures counted as slowness. */
  double expectedMillis(double unknownMillis) {
    double latency = latencyMillis == 0 ? unknownMillis : latencyMillis;
    return latency * (1 + FAILURE_WEIGHT * failureRate);
  }
}
