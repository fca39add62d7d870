package org.gradeledge.relay;

/**
 * Forecasts whether a request with stage work would miss its target time, so that it can be refused
 * at once. Confined to the event loop.
 *
 * <p>Only load is a reason to refuse, as a refusal leaves the time that the work itself takes as it
 * is: a route whose target is shorter than its work on idle upstreams would never be served. Such a
 * request has as much time as the work takes.
 */
final class LatenessForecast {

  /** Tolerance for inaccurate estimates. */
  private static final double TOLERANCE = 1.15;

  private final StageEstimator estimator;
  private final RequestClock clock;
  private final double firstEventMillis;

  /** Time by which the work on idle upstreams exceeds the target time. */
  private final double excessMillis;

  /**
   * Creates the forecast of a request.
   *
   * @param firstEventMillis observed time from the end of the stages to the first event, 0 without
   *     observations
   * @param lightlyLoaded whether the upstreams of the first event are lightly loaded, so that load
   *     is not what the observed time comes from
   */
  LatenessForecast(
      StageEstimator estimator,
      RequestClock clock,
      double firstEventMillis,
      boolean lightlyLoaded) {
    this.estimator = estimator;
    this.clock = clock;
    this.firstEventMillis = firstEventMillis;
    double idleMillis = estimator.idleMillis() + (lightlyLoaded ? firstEventMillis : 0);
    this.excessMillis = Math.max(0, idleMillis * TOLERANCE - clock.targetMillis());
  }

  /** Returns the expected time to the first event, with the current backlogs. */
  double expectedMillis() {
    return estimator.expectedMillis() + firstEventMillis;
  }

  /** Returns whether load makes the answer late. */
  boolean isLate() {
    return expectedMillis() > attainableRemainingMillis() * TOLERANCE;
  }

  /** Returns the time left for a stage, with the work after it taken off. */
  long dueMillis(int stage) {
    double laterMillis = estimator.downstreamMillis(stage) + firstEventMillis;
    return (long) (attainableRemainingMillis() - laterMillis);
  }

  private double attainableRemainingMillis() {
    return Math.min(clock.targetRemainingMillis() + excessMillis, clock.remainingMillis());
  }
}
