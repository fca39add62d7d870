package org.gradeledge.routing;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Baseline strategy: selects the candidate with the fewest calls in flight from this box, breaking
 * ties at random.
 */
final class LeastInFlightRouting implements RoutingStrategy {

  @Override
  public UpstreamState choose(List<UpstreamState> candidates) {
    int fewest = candidates.stream().mapToInt(UpstreamState::inFlight).min().orElse(0);
    List<UpstreamState> leastLoaded =
        candidates.stream()
            .filter(state -> state.inFlight() == fewest)
            .sorted(Comparator.comparing(state -> state.definition().id()))
            .toList();
    return leastLoaded.get(ThreadLocalRandom.current().nextInt(leastLoaded.size()));
  }
}
