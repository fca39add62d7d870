package org.gradeledge.routing;

import java.util.List;

/**
 * Selects one of the upstreams that may serve a call.
 *
 * @since 0.1
 */
public interface RoutingStrategy {

  /**
   * Returns the selected upstream. Must not block; called from many threads.
   *
   * @param candidates at least one upstream; none is leaving
   */
  UpstreamState choose(List<UpstreamState> candidates);
}
