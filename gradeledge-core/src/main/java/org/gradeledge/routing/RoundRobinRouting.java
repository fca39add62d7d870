package org.gradeledge.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Baseline strategy: selects the candidates in turn. */
final class RoundRobinRouting implements RoutingStrategy {

  private final AtomicInteger next = new AtomicInteger();

  @Override
  public UpstreamState choose(List<UpstreamState> candidates) {
    return candidates.get(Math.floorMod(next.getAndIncrement(), candidates.size()));
  }
}
