package org.gradeledge.deployment;

import java.util.Optional;

/**
 * How urgent a request is among all: the priority of its client account goes first, and among
 * requests of equally urgent accounts that of their route. Where accounts are alike, as they often
 * are, the routes' order is thus kept; without it the kind of request that is worth most waits
 * behind the others.
 *
 * @param rank 0 is the most urgent, {@link #LEVELS} - 1 the least
 * @since 0.2
 */
public record Urgency(int rank) {

  /** How many ranks are told apart: as many as upstreams know of. */
  public static final int LEVELS = 10;

  /** Priorities of routes that are told apart among the requests of one account. */
  private static final int ROUTE_PRIORITY_LEVELS = 3;

  /**
   * Returns the urgency of a request.
   *
   * @param account priority of its account; without one the route's stands for it
   * @param route priority of its route, 0 is the most urgent
   */
  public static Urgency of(Optional<Integer> account, int route) {
    int first = Math.max(0, account.orElse(route));
    int second = Math.min(Math.max(0, route), ROUTE_PRIORITY_LEVELS - 1);
    return new Urgency((int) Math.min(LEVELS - 1L, (long) first * ROUTE_PRIORITY_LEVELS + second));
  }
}
