package org.gradeledge.settings;

import java.time.Duration;
import java.util.Optional;

/**
 * Timeouts and periods of a box in milliseconds; each has a default.
 *
 * @param membershipBoundMs how long a confirmation of membership is valid
 * @param prepareBoundMs timeout for a member to prepare a submission
 * @param doubtBoundMs how long a box keeps serving after it prepared a version whose verdict is
 *     pending
 * @param heartbeatMs period of heartbeats to each peer
 * @param pollMs polling period of the table and the box list
 * @param platformCallMs timeout of a call to the platform
 * @param balancerLagMs how long a stopping box keeps serving after it reports not ready
 * @param drainBoundMs how long a stopping box waits for requests in flight
 * @since 0.1
 */
public record TimingSettings(
    Optional<Long> membershipBoundMs,
    Optional<Long> prepareBoundMs,
    Optional<Long> doubtBoundMs,
    Optional<Long> heartbeatMs,
    Optional<Long> pollMs,
    Optional<Long> platformCallMs,
    Optional<Long> balancerLagMs,
    Optional<Long> drainBoundMs) {

  /** Returns settings without any value set. */
  public static TimingSettings defaults() {
    Optional<Long> none = Optional.empty();
    return new TimingSettings(none, none, none, none, none, none, none, none);
  }

  /** Returns how long a confirmation of membership is valid. */
  public Duration membershipBound() {
    return durationOrDefault(membershipBoundMs, 5_000);
  }

  /** Returns the timeout for a member to prepare a submission. */
  public Duration prepareBound() {
    return durationOrDefault(prepareBoundMs, 1_500);
  }

  /** Returns how long a box keeps serving while the verdict of a prepared version is pending. */
  public Duration doubtBound() {
    return durationOrDefault(doubtBoundMs, 2_000);
  }

  /** Returns the heartbeat period. */
  public Duration heartbeat() {
    return durationOrDefault(heartbeatMs, 500);
  }

  /** Returns the polling period of the table and the box list. */
  public Duration poll() {
    return durationOrDefault(pollMs, 1_000);
  }

  /** Returns the timeout of a call to the platform. */
  public Duration platformCall() {
    return durationOrDefault(platformCallMs, 1_000);
  }

  /** Returns how long a stopping box keeps serving after it reports not ready. */
  public Duration balancerLag() {
    return durationOrDefault(balancerLagMs, 1_000);
  }

  /** Returns how long a stopping box waits for requests in flight. */
  public Duration drainBound() {
    return durationOrDefault(drainBoundMs, 120_000);
  }

  private static Duration durationOrDefault(Optional<Long> value, long defaultMillis) {
    return Duration.ofMillis(value.orElse(defaultMillis));
  }
}
