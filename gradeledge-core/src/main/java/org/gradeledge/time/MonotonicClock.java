package org.gradeledge.time;

/**
 * A clock that never goes back and also advances while the process is stopped or the machine is
 * suspended.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns nanoseconds since an arbitrary origin; only differences are meaningful. */
  long nanos();

  /** Returns the clock of this machine. */
  static MonotonicClock system() {
    return SuspensionAwareClock.systemClock();
  }
}
