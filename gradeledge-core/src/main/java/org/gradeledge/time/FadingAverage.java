package org.gradeledge.time;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Moving average of observations that fades to a default value once there are no new ones. An
 * estimate that decides whether anything is observed would otherwise never be corrected.
 *
 * <p>Not thread-safe.
 *
 * @since 0.3
 */
public final class FadingAverage {

  private final MonotonicClock clock;
  private final double smoothing;
  private final long trustedNanos;
  private final double halfLifeNanos;
  private OptionalDouble mean = OptionalDouble.empty();
  private long observedNanos;

  /**
   * Creates an average without observations.
   *
   * @param smoothing weight of a new observation, up to 1; the first one counts in full
   * @param trusted time after the last observation in which the average does not fade
   * @param halfLife time in which the distance from the default then halves
   */
  public FadingAverage(
      MonotonicClock clock, double smoothing, Duration trusted, Duration halfLife) {
    this.clock = clock;
    this.smoothing = smoothing;
    this.trustedNanos = trusted.toNanos();
    this.halfLifeNanos = halfLife.toNanos();
  }

  /** Adds an observation; earlier ones count as far as they have not faded. */
  public void observe(double value, double defaultValue) {
    double current = mean.isEmpty() ? value : value(defaultValue);
    mean = OptionalDouble.of(current + smoothing * (value - current));
    observedNanos = clock.nanos();
  }

  /** Returns the average, or the default value if there are no observations. */
  public double value(double defaultValue) {
    if (mean.isEmpty()) {
      return defaultValue;
    }
    long fadingNanos = clock.nanos() - observedNanos - trustedNanos;
    double remaining = fadingNanos <= 0 ? 1 : Math.pow(2, -fadingNanos / halfLifeNanos);
    return defaultValue + (mean.getAsDouble() - defaultValue) * remaining;
  }

  /** Returns the average without regard to its age; empty if there are no observations. */
  public OptionalDouble latest() {
    return mean;
  }
}
