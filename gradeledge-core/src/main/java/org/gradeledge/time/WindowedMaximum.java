package org.gradeledge.time;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Largest of the observations of the last one to two windows.
 *
 * <p>Not thread-safe.
 *
 * @since 0.3
 */
public final class WindowedMaximum {

  private final MonotonicClock clock;
  private final long windowNanos;
  private OptionalLong current = OptionalLong.empty();
  private OptionalLong previous = OptionalLong.empty();
  private long currentSinceNanos;

  /** Creates a maximum without observations. */
  public WindowedMaximum(MonotonicClock clock, Duration window) {
    this.clock = clock;
    this.windowNanos = window.toNanos();
    this.currentSinceNanos = clock.nanos();
  }

  /** Adds an observation. */
  public void observe(long value) {
    expire();
    current = OptionalLong.of(Math.max(value, current.orElse(value)));
  }

  /** Returns the maximum, or nothing if there are no recent observations. */
  public OptionalLong value() {
    expire();
    if (current.isEmpty() || previous.isEmpty()) {
      return current.isPresent() ? current : previous;
    }
    return OptionalLong.of(Math.max(current.getAsLong(), previous.getAsLong()));
  }

  private void expire() {
    long age = clock.nanos() - currentSinceNanos;
    if (age < windowNanos) {
      return;
    }
    previous = age < 2 * windowNanos ? current : OptionalLong.empty();
    current = OptionalLong.empty();
    currentSinceNanos = clock.nanos();
  }
}
