package org.gradeledge.relay;

import org.gradeledge.deployment.RouteDefinition;

/**
 * How often one request was sent to upstreams, how many of them may have run it, and what follows
 * for sending it again. Confined to the event loop.
 */
final class SendHistory {

  /** Attempts that were turned away count too, so that a request does not visit every upstream. */
  private static final int MOST_SENDS = 4;

  private static final int FIRST_FAILURE = 500;

  private final RouteDefinition route;
  private int sends;
  private int runs;

  SendHistory(RouteDefinition route) {
    this.route = route;
  }

  /** Counts one more attempt; returns its number, from 1. */
  int sent() {
    sends++;
    return sends;
  }

  /** Counts an attempt that failed in such a way that the upstream may have run the request. */
  void mayHaveRun() {
    runs++;
  }

  /** Returns whether any upstream may have run the request. */
  boolean maybeRan() {
    return runs > 0;
  }

  /** Returns whether another upstream may run the request while one more may have run it. */
  boolean mayRunAgain() {
    return route.repeatability().repeatable() && runs + 1 < route.maxAttempts();
  }

  /** Returns whether an answer with a status may give way to one of another upstream. */
  boolean mayReplace(int status) {
    return status >= FIRST_FAILURE && mayRunAgain() && !exhausted();
  }

  /** Returns whether the request was sent as often as it may be. */
  boolean exhausted() {
    return sends >= MOST_SENDS;
  }
}
