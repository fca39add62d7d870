package org.gradeledge.time;

import java.util.OptionalLong;

/**
 * A clock of the time since the machine was booted, including time in which it was suspended.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface BootClock {

  /** Returns the nanoseconds since the machine was booted, or empty if these are unknown. */
  OptionalLong nanos();
}
