package org.gradeledge.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * A client account that may use a pipeline.
 *
 * @param name name, unique in the pipeline
 * @param tokenSha256 lower-case hexadecimal SHA-256 digest of the bearer token
 * @param priority 0 to 9; a higher value gives a larger share under overload
 * @param weight share under overload, multiplied by the priority plus one
 * @param deadlineMs maximum and default deadline of requests
 * @param requestsPerSecond rate limit; requests above it are refused
 * @since 0.1
 */
public record AccountDefinition(
    String name,
    String tokenSha256,
    int priority,
    int weight,
    long deadlineMs,
    double requestsPerSecond) {

  /** Validates required components. */
  public AccountDefinition {
    Objects.requireNonNull(name, "name must be given");
    Objects.requireNonNull(tokenSha256, "tokenSha256 must be given");
  }

  /** Returns the maximum deadline of a request. */
  public Duration maxDeadline() {
    return Duration.ofMillis(deadlineMs);
  }
}
