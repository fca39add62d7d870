package org.gradeledge.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * One client account that may use a pipeline.
 *
 * @param name unique in the pipeline
 * @param tokenSha256 lower-case hexadecimal SHA-256 digest of its bearer token
 * @param priority 0 to 9; the share under overload grows with it
 * @param weight share under overload, multiplied by one more than the priority
 * @param deadlineMs longest deadline that its requests may ask for, and the default
 * @param requestsPerSecond rate above which requests are refused
 * @since 0.1
 */
public record AccountDefinition(
    String name,
    String tokenSha256,
    int priority,
    int weight,
    long deadlineMs,
    double requestsPerSecond) {

  /** Checks that every required part is there. */
  public AccountDefinition {
    Objects.requireNonNull(name, "name must be given");
    Objects.requireNonNull(tokenSha256, "tokenSha256 must be given");
  }

  /** Returns the longest deadline of a request. */
  public Duration maxDeadline() {
    return Duration.ofMillis(deadlineMs);
  }
}
