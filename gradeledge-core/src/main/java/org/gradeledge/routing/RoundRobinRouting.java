package org.gradeledge.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Baseline: takes the candidates one after another. */
final class RoundRobinRouting implements RoutingStrategy {

  private final AtomicInteger next = new AtomicInteger();

  @Override
  public UpstreamState choose(List<UpstreamState> candidates) {
    return candidates.get(Math.floorMod(next.getAndIncrement(), candidates.size()));
  }
}
