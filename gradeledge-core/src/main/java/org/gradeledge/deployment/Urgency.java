package org.gradeledge.deployment;

import java.util.Optional;

/**
 * Urgency of a request. Requests are ordered by the priority of their client account, then by the
 * priority of their route.
 *
 * @param rank rank from 0, the most urgent, to {@link #LEVELS} - 1
 * @since 0.2
 */
public record Urgency(int rank) {

  /** Number of ranks, equal to the priority levels of upstreams. */
  public static final int LEVELS = 10;

  /** Number of route priorities that are distinguished within an account. */
  private static final int ROUTE_PRIORITY_LEVELS = 3;

  /**
   * Returns the urgency of a request.
   *
   * @param account priority of the client account; defaults to that of the route
   * @param route priority of the route, 0 is the most urgent
   */
  public static Urgency of(Optional<Integer> account, int route) {
    int accountLevel = Math.max(0, account.orElse(route));
    int routeLevel = Math.min(Math.max(0, route), ROUTE_PRIORITY_LEVELS - 1);
    return new Urgency(
        (int) Math.min(LEVELS - 1L, (long) accountLevel * ROUTE_PRIORITY_LEVELS + routeLevel));
  }
}
