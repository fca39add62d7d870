package org.gradeledge.relay;

import org.gradeledge.deployment.RouteDefinition;

/**
 * Counts the attempts of one request and decides whether it may be sent again. Confined to the
 * event loop.
 */
final class AttemptHistory {

  /** Includes rejected attempts, so that a request is not sent to every upstream. */
  private static final int MAX_SENDS = 4;

  private static final int FIRST_SERVER_ERROR = 500;

  private final RouteDefinition route;
  private int sendCount;
  private int possibleRuns;

  AttemptHistory(RouteDefinition route) {
    this.route = route;
  }

  /** Counts an attempt; returns its number, starting with 1. */
  int recordSent() {
    sendCount++;
    return sendCount;
  }

  /** Returns whether the request was sent to an upstream. */
  boolean hasSent() {
    return sendCount > 0;
  }

  /** Counts a failed attempt that may have run the request. */
  void recordPossibleRun() {
    possibleRuns++;
  }

  /**
   * Returns a refusal that is true of the request: {@link Refusal#BROKEN} in place of one that
   * promises that the request has not run, if an upstream may have run it.
   */
  Refusal truthful(Refusal refusal) {
    return possibleRuns > 0 && refusal.notRun() ? Refusal.BROKEN : refusal;
  }

  /** Returns whether the request may be retried after an attempt that may have run it. */
  boolean mayRunAgain() {
    return route.repeatability().repeatable() && possibleRuns + 1 < route.maxAttempts();
  }

  /** Returns whether a retry may replace an answer with this status. */
  boolean mayReplaceAnswer(int status) {
    return status >= FIRST_SERVER_ERROR && mayRunAgain() && !isExhausted();
  }

  /** Returns whether the maximum number of attempts was reached. */
  boolean isExhausted() {
    return sendCount >= MAX_SENDS;
  }
}
