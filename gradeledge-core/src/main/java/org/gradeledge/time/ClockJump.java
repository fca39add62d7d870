package org.gradeledge.time;

import java.time.Duration;

/**
 * The time of day and the steady clock have parted.
 *
 * @param wallClockShift by how much the time of day went ahead of the steady clock; negative if it
 *     was set back
 * @param suspended for how long the machine was suspended; zero where that is not shown
 * @since 0.3
 */
public record ClockJump(Duration wallClockShift, Duration suspended) {

  /** Returns whether the machine was suspended for sure. */
  public boolean isSuspension() {
    return !suspended.isZero();
  }

  /** Returns whether time may have passed that no timer counted. */
  public boolean mayBeSuspension() {
    return !wallClockShift.isNegative();
  }
}
