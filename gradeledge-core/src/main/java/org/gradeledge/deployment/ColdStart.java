package org.gradeledge.deployment;

import java.time.Duration;

/**
 * What an upstream bears while it is cold: for a while after its start, and whenever it says so.
 *
 * @param requestsPerSecond requests that it bears from all boxes together
 * @param duration how long it is cold after a start
 * @since 0.3
 */
public record ColdStart(double requestsPerSecond, Duration duration) {

  /** Checks the parts. */
  public ColdStart {
    if (!(requestsPerSecond > 0)) {
      throw new IllegalArgumentException("requestsPerSecond must be above 0");
    }
  }
}
