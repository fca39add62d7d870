package org.gradeledge.deployment;

import java.time.Duration;

/**
 * Rate limit for an upstream while it is cold: after its start and whenever it announces it.
 *
 * @param requestsPerSecond maximum rate of requests from all boxes together
 * @param duration time for which an upstream is cold after its start
 * @since 0.3
 */
public record ColdStart(double requestsPerSecond, Duration duration) {

  /** Validates the rate. */
  public ColdStart {
    if (!(requestsPerSecond > 0)) {
      throw new IllegalArgumentException("requestsPerSecond must be above 0");
    }
  }
}
