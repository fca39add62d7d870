package org.gradeledge.time;

/**
 * A clock that never goes back and goes on while the process is frozen, and while the machine is
 * suspended.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns nanoseconds since an arbitrary origin; only differences mean anything. */
  long nanos();

  /** Returns the clock of the machine. */
  static MonotonicClock system() {
    return SuspensionAwareClock.systemClock();
  }
}
