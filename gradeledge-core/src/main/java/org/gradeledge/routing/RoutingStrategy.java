package org.gradeledge.routing;

import java.util.List;

/**
 * Chooses one of the upstreams that may serve a call.
 *
 * @since 0.1
 */
public interface RoutingStrategy {

  /**
   * Returns the choice. Must not block; called from many threads.
   *
   * @param candidates at least one, none leaving or ejected
   */
  UpstreamState choose(List<UpstreamState> candidates);
}
