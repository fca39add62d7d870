package org.gradeledge.standin.engine;

import java.time.Duration;

/**
 * How fast an engine is.
 *
 * @param slots calls that it works on at a time; more wait
 * @param baseMillis time of a call when alone
 * @param tokenMicros time of each generated token when alone
 * @param fullFactor how much slower a full batch is than a call alone
 */
public record EngineModel(int slots, int baseMillis, int tokenMicros, double fullFactor) {

  /** Returns a fast engine, for tests that do not measure. */
  public static EngineModel fast() {
    return new EngineModel(16, 1, 100, 1);
  }

  Duration base(int running, int slowness) {
    return Duration.ofNanos((long) (baseMillis * 1_000_000L * factor(running) * slowness));
  }

  Duration token(int running, int slowness) {
    return Duration.ofNanos((long) (tokenMicros * 1_000L * factor(running) * slowness));
  }

  private double factor(int running) {
    return 1 + (fullFactor - 1) * Math.min(1.0, (double) running / slots);
  }
}
