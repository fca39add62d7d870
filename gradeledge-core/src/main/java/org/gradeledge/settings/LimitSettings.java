package org.gradeledge.settings;

import java.time.Duration;
import java.util.Optional;

/**
 * Limits on callers and upstream answers; each has a default.
 *
 * @param maxBodyBytes maximum size of a request body from a caller or operator
 * @param maxHeaderBytes maximum size of a request head
 * @param maxAnswerBytes maximum size of the answer of a stage
 * @param maxConnections maximum number of concurrent caller connections
 * @param maxRequestsPerAccount maximum number of concurrent requests per client account
 * @param readTimeoutMs timeout for receiving a request
 * @param idleTimeoutMs timeout of idle caller connections
 * @param callerWriteTimeoutMs timeout for writes to a caller that does not read its answer
 * @since 0.1
 */
public record LimitSettings(
    Optional<Integer> maxBodyBytes,
    Optional<Integer> maxHeaderBytes,
    Optional<Integer> maxAnswerBytes,
    Optional<Integer> maxConnections,
    Optional<Integer> maxRequestsPerAccount,
    Optional<Long> readTimeoutMs,
    Optional<Long> idleTimeoutMs,
    Optional<Long> callerWriteTimeoutMs) {

  /** Returns settings without any value set. */
  public static LimitSettings defaults() {
    Optional<Integer> noNumber = Optional.empty();
    Optional<Long> noTime = Optional.empty();
    return new LimitSettings(
        noNumber, noNumber, noNumber, noNumber, noNumber, noTime, noTime, noTime);
  }

  /** Returns the maximum size of a request body in bytes. */
  public int bodyBytes() {
    return maxBodyBytes.orElse(256 * 1024);
  }

  /** Returns the maximum size of a request head in bytes. */
  public int headerBytes() {
    return maxHeaderBytes.orElse(8 * 1024);
  }

  /** Returns the maximum size of the answer of a stage in bytes. */
  public int answerBytes() {
    return maxAnswerBytes.orElse(1024 * 1024);
  }

  /** Returns the maximum number of concurrent caller connections. */
  public int connections() {
    return maxConnections.orElse(2_000);
  }

  /** Returns the maximum number of concurrent requests per client account. */
  public int requestsPerAccount() {
    return maxRequestsPerAccount.orElse(500);
  }

  /** Returns the timeout for receiving a request. */
  public Duration readTimeout() {
    return Duration.ofMillis(readTimeoutMs.orElse(5_000L));
  }

  /** Returns the timeout of idle caller connections. */
  public Duration idleTimeout() {
    return Duration.ofMillis(idleTimeoutMs.orElse(60_000L));
  }

  /** Returns the timeout for writes to a caller. */
  public Duration callerWriteTimeout() {
    return Duration.ofMillis(callerWriteTimeoutMs.orElse(5_000L));
  }
}
