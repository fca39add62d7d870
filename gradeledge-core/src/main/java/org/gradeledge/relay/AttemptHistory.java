package org.gradeledge.relay;

import org.gradeledge.deployment.RouteDefinition;

/**
 * How often one request was sent to upstreams, how many of them may have run it, and what follows
 * for sending it again. Confined to the event loop.
 */
final class AttemptHistory {

  /** Attempts that were turned away count too, so that a request does not visit every upstream. */
  private static final int MAX_SENDS = 4;

  private static final int FIRST_SERVER_ERROR = 500;

  private final RouteDefinition route;
  private int sendCount;
  private int possibleRuns;

  AttemptHistory(RouteDefinition route) {
    this.route = route;
  }

  /** Counts one more attempt; returns its number, from 1. */
  int recordSent() {
    sendCount++;
    return sendCount;
  }

  /** Counts an attempt that failed in such a way that the upstream may have run the request. */
  void recordPossibleRun() {
    possibleRuns++;
  }

  /** Returns whether any upstream may have run the request. */
  boolean hasPossiblyRun() {
    return possibleRuns > 0;
  }

  /** Returns whether another upstream may run the request while one more may have run it. */
  boolean mayRunAgain() {
    return route.repeatability().repeatable() && possibleRuns + 1 < route.maxAttempts();
  }

  /** Returns whether an answer with a status may give way to one of another upstream. */
  boolean mayReplaceAnswer(int status) {
    return status >= FIRST_SERVER_ERROR && mayRunAgain() && !isExhausted();
  }

  /** Returns whether the request was sent as often as it may be. */
  boolean isExhausted() {
    return sendCount >= MAX_SENDS;
  }
}
