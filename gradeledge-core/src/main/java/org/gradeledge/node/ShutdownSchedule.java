package org.gradeledge.node;

import java.time.Duration;

/**
 * When the steps of a graceful shutdown are due, counted from its start.
 *
 * @param gracePeriod time after which the platform kills the process
 */
record ShutdownSchedule(Duration gracePeriod) {

  /**
   * Time in which the load balancer stops sending new connections to a box that is not ready: two
   * checks, one second apart, and their way.
   */
  private static final Duration LOAD_BALANCER_REACTION = Duration.ofMillis(2_500);

  /** Time between closing idle connections and refusing what still arrives. */
  private static final Duration IDLE_CLOSE_LEAD = Duration.ofMillis(100);

  private static final double MAX_ACCEPTING_SHARE = 0.4;

  /** Requests that still wait for stage work at this point would not complete in time. */
  private static final double REFUSE_UNSENT_SHARE = 0.8;

  private static final double END_SHARE = 0.95;

  Duration closeIdle() {
    return refuse().minus(IDLE_CLOSE_LEAD);
  }

  /** Returns when all new requests are refused. */
  Duration refuse() {
    Duration most = share(MAX_ACCEPTING_SHARE);
    return most.compareTo(LOAD_BALANCER_REACTION) < 0 ? most : LOAD_BALANCER_REACTION;
  }

  /** Returns when requests that were not sent to an upstream are refused. */
  Duration refuseUnsent() {
    return share(REFUSE_UNSENT_SHARE);
  }

  /** Returns when requests in flight are given up. */
  Duration end() {
    return share(END_SHARE);
  }

  private Duration share(double share) {
    return Duration.ofMillis((long) (gracePeriod.toMillis() * share));
  }
}
