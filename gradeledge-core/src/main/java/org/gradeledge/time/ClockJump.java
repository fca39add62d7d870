package org.gradeledge.time;

import java.time.Duration;

/**
 * A jump of the wall clock relative to the JVM's monotonic clock, caused by a suspension of the
 * machine or by setting the wall clock.
 *
 * @param wallClockShift how far the wall clock moved forward relative to the monotonic clock;
 *     negative if it was set back
 * @param suspended time for which the machine was suspended; zero if no suspension is confirmed
 * @since 0.3
 */
public record ClockJump(Duration wallClockShift, Duration suspended) {

  /** Returns whether a suspension of the machine is confirmed. */
  public boolean isSuspension() {
    return !suspended.isZero();
  }

  /** Returns whether the machine may have been suspended. */
  public boolean mayBeSuspension() {
    return !wallClockShift.isNegative();
  }
}
