package org.gradeledge.selection;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What the box knows of one upstream's load and health. Confined to the event loop. */
final class UpstreamLoad {

  private static final double SMOOTHING = 0.2;
  private static final double FAILURE_COST = 4;
  private static final int FAILURES_TO_SUSPECT = 3;
  private static final long FIRST_PAUSE_MILLIS = 500;
  private static final long LONGEST_PAUSE_MILLIS = 4_000;

  private final Map<String, LoadShare> ofPeers = new HashMap<>();
  private int peersRunning;
  private long peersTokens;
  private int running;
  private long tokens;
  private double latencyMillis;
  private double failureShare;
  private int failuresInARow;
  private long pauseMillis = FIRST_PAUSE_MILLIS;
  private long avoidedUntilNanos = Long.MIN_VALUE;
  private long heardNanos;

  void started(long demandedTokens) {
    running++;
    tokens += demandedTokens;
  }

  void ended(long demandedTokens) {
    running--;
    tokens -= demandedTokens;
  }

  void succeeded(double millis) {
    failuresInARow = 0;
    pauseMillis = FIRST_PAUSE_MILLIS;
    failureShare *= 1 - SMOOTHING;
    latencyMillis += latencyMillis == 0 ? millis : SMOOTHING * (millis - latencyMillis);
  }

  /** Counts a failure; returns whether the upstream is avoided from now on. */
  boolean failed(boolean certain, long nowNanos) {
    failuresInARow++;
    failureShare += SMOOTHING * (1 - failureShare);
    if (!certain && failuresInARow < FAILURES_TO_SUSPECT) {
      return false;
    }
    avoidFor(pauseMillis, nowNanos);
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    return true;
  }

  void avoidFor(long millis, long nowNanos) {
    avoidedUntilNanos = Math.max(avoidedUntilNanos, nowNanos + millis * 1_000_000);
  }

  boolean avoided(long nowNanos) {
    return avoidedUntilNanos != Long.MIN_VALUE && nowNanos - avoidedUntilNanos < 0;
  }

  void heard(long nowNanos) {
    heardNanos = nowNanos;
  }

  long silentMillis(long nowNanos) {
    return (nowNanos - heardNanos) / 1_000_000;
  }

  void setShare(String box, LoadShare share) {
    countOut(ofPeers.put(box, share));
    peersRunning += share.running();
    peersTokens += share.tokens();
  }

  void dropShare(String box) {
    countOut(ofPeers.remove(box));
  }

  private void countOut(@Nullable LoadShare share) {
    if (share != null) {
      peersRunning -= share.running();
      peersTokens -= share.tokens();
    }
  }

  LoadShare own() {
    return new LoadShare(running, tokens);
  }

  /** Counts memory that is taken although no request is under way, or given back. */
  void hold(long demandedTokens) {
    tokens = Math.max(0, tokens + demandedTokens);
  }

  int peersRunning() {
    return peersRunning;
  }

  long peersTokens() {
    return peersTokens;
  }

  int totalRunning() {
    return running + peersRunning();
  }

  long totalTokens() {
    return tokens + peersTokens();
  }

  /** Returns the usual time of a request there, zero if none was measured. */
  double latencyMillis() {
    return latencyMillis;
  }

  /** Returns about how long a request takes there, failures counted as slowness. */
  double cost(double unknownMillis) {
    double latency = latencyMillis == 0 ? unknownMillis : latencyMillis;
    return latency * (1 + FAILURE_COST * failureShare);
  }
}
