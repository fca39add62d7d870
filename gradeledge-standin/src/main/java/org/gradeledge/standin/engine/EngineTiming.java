package org.gradeledge.standin.engine;

import java.time.Duration;

/**
 * How fast an engine is.
 *
 * @param slots calls that it works on at a time; more wait
 * @param callMillis time of a call when alone
 * @param tokenMicros time of each generated token when alone
 * @param fullBatchSlowdown how much slower a full batch is than a call alone
 */
public record EngineTiming(int slots, int callMillis, int tokenMicros, double fullBatchSlowdown) {

  /** Returns a fast engine, for tests that do not measure. */
  public static EngineTiming fast() {
    return new EngineTiming(16, 1, 100, 1);
  }

  Duration callTime(int running, int slowness) {
    return Duration.ofNanos((long) (callMillis * 1_000_000L * slowdown(running) * slowness));
  }

  Duration tokenTime(int running, int slowness) {
    return Duration.ofNanos((long) (tokenMicros * 1_000L * slowdown(running) * slowness));
  }

  private double slowdown(int running) {
    return 1 + (fullBatchSlowdown - 1) * Math.min(1.0, (double) running / slots);
  }
}
