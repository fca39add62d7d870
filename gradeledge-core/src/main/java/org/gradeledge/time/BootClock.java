package org.gradeledge.time;

import java.util.OptionalLong;

/**
 * The time since the machine was booted, in which it may have been suspended for a while.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface BootClock {

  /** Returns nanoseconds since the machine was booted, empty where that cannot be told. */
  OptionalLong nanos();
}
