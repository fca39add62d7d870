package org.gradeledge.standin.engine;

import java.time.Duration;

/**
 * Processing times of an engine.
 *
 * @param slots number of calls processed concurrently; further calls wait
 * @param callMillis processing time of a call on an idle engine
 * @param tokenMicros time per generated token on an idle engine
 * @param fullBatchSlowdown factor by which all slots being in use slows calls down
 */
public record EngineTiming(int slots, int callMillis, int tokenMicros, double fullBatchSlowdown) {

  /** Returns short times, for tests that do not measure performance. */
  public static EngineTiming fast() {
    return new EngineTiming(16, 1, 100, 1);
  }

  Duration callTime(int running, int slowdownFactor) {
    return Duration.ofNanos((long) (callMillis * 1_000_000L * slowdown(running) * slowdownFactor));
  }

  Duration tokenTime(int running, int slowdownFactor) {
    return Duration.ofNanos((long) (tokenMicros * 1_000L * slowdown(running) * slowdownFactor));
  }

  private double slowdown(int running) {
    return 1 + (fullBatchSlowdown - 1) * Math.min(1.0, (double) running / slots);
  }
}
