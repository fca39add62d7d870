package org.gradeledge.routing;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Baseline: takes the candidate with the fewest own calls in progress, a random one of equals. */
final class LeastInFlightRouting implements RoutingStrategy {

  @Override
  public UpstreamState choose(List<UpstreamState> candidates) {
    int fewest = candidates.stream().mapToInt(UpstreamState::inFlight).min().orElse(0);
    List<UpstreamState> equals =
        candidates.stream()
            .filter(state -> state.inFlight() == fewest)
            .sorted(Comparator.comparing(state -> state.definition().id()))
            .toList();
    return equals.get(ThreadLocalRandom.current().nextInt(equals.size()));
  }
}
