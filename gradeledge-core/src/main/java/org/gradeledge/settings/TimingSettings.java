package org.gradeledge.settings;

import java.time.Duration;
import java.util.Optional;

/**
 * The bounds and periods of a box, in milliseconds; each has a default.
 *
 * @param membershipBoundMs how long a confirmation of membership lasts
 * @param prepareBoundMs how long a submitter waits for a member to prepare
 * @param doubtBoundMs how long a prepared box serves on without knowing the verdict
 * @param heartbeatMs period of heartbeats to each peer
 * @param pollMs period of reads of the table and the box list
 * @param platformCallMs time limit of one call to the platform
 * @param balancerLagMs how long a stopping box still serves after it fails readiness
 * @param drainBoundMs how long a stopping box waits for work in progress
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

  /** Returns the defaults. */
  public static TimingSettings defaults() {
    Optional<Long> none = Optional.empty();
    return new TimingSettings(none, none, none, none, none, none, none, none);
  }

  /** Returns how long a confirmation of membership lasts. */
  public Duration membershipBound() {
    return millis(membershipBoundMs, 5_000);
  }

  /** Returns how long a submitter waits for a member to prepare. */
  public Duration prepareBound() {
    return millis(prepareBoundMs, 1_500);
  }

  /** Returns how long a prepared box serves on without knowing the verdict. */
  public Duration doubtBound() {
    return millis(doubtBoundMs, 2_000);
  }

  /** Returns the period of heartbeats. */
  public Duration heartbeat() {
    return millis(heartbeatMs, 500);
  }

  /** Returns the period of reads of the platform. */
  public Duration poll() {
    return millis(pollMs, 1_000);
  }

  /** Returns the time limit of one call to the platform. */
  public Duration platformCall() {
    return millis(platformCallMs, 1_000);
  }

  /** Returns how long a stopping box still serves after it fails readiness. */
  public Duration balancerLag() {
    return millis(balancerLagMs, 1_000);
  }

  /** Returns how long a stopping box waits for work in progress. */
  public Duration drainBound() {
    return millis(drainBoundMs, 120_000);
  }

  private static Duration millis(Optional<Long> value, long otherwise) {
    return Duration.ofMillis(value.orElse(otherwise));
  }
}
