package org.gradeledge.settings;

import java.time.Duration;
import java.util.Optional;

/**
 * What a box takes in at most; each limit has a default.
 *
 * @param maxBodyBytes largest request body of a caller or operator
 * @param maxHeaderBytes largest request head
 * @param maxAnswerBytes largest answer of one stage
 * @param maxConnections most caller connections at a time
 * @param maxRequestsPerAccount most requests of one client account at a time
 * @param readTimeoutMs how long a request may take to arrive
 * @param idleTimeoutMs how long an idle caller connection is kept
 * @param callerWriteTimeoutMs how long a caller may take no byte of its answer
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

  /** Returns the defaults. */
  public static LimitSettings defaults() {
    Optional<Integer> none = Optional.empty();
    Optional<Long> noTime = Optional.empty();
    return new LimitSettings(none, none, none, none, none, noTime, noTime, noTime);
  }

  /** Returns the largest request body in bytes. */
  public int bodyBytes() {
    return maxBodyBytes.orElse(256 * 1024);
  }

  /** Returns the largest request head in bytes. */
  public int headerBytes() {
    return maxHeaderBytes.orElse(8 * 1024);
  }

  /** Returns the largest answer of one stage in bytes. */
  public int answerBytes() {
    return maxAnswerBytes.orElse(1024 * 1024);
  }

  /** Returns the most caller connections at a time. */
  public int connections() {
    return maxConnections.orElse(2_000);
  }

  /** Returns the most requests of one client account at a time. */
  public int requestsPerAccount() {
    return maxRequestsPerAccount.orElse(500);
  }

  /** Returns how long a request may take to arrive. */
  public Duration readTimeout() {
    return Duration.ofMillis(readTimeoutMs.orElse(5_000L));
  }

  /** Returns how long an idle caller connection is kept. */
  public Duration idleTimeout() {
    return Duration.ofMillis(idleTimeoutMs.orElse(60_000L));
  }

  /** Returns how long a caller may take no byte of its answer. */
  public Duration callerWriteTimeout() {
    return Duration.ofMillis(callerWriteTimeoutMs.orElse(5_000L));
  }
}
