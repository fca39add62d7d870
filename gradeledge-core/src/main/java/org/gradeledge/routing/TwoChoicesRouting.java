package org.gradeledge.routing;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Selects the better of two random candidates by expected wait.
 *
 * <p>The expected wait is the number of calls in flight, from this box and by the decayed load
 * report from others, divided by the slots and multiplied by the average call latency. Upstreams in
 * other zones are penalized by a constant factor.
 */
final class TwoChoicesRouting implements RoutingStrategy {

  private static final Duration REPORT_HALF_LIFE = Duration.ofMillis(500);
  private static final double OTHER_ZONE_FACTOR = 1.15;

  private final String availabilityZone;

  TwoChoicesRouting(String availabilityZone) {
    this.availabilityZone = availabilityZone;
  }

  @Override
  public UpstreamState choose(List<UpstreamState> candidates) {
    if (candidates.size() == 1) {
      return candidates.get(0);
    }
    ThreadLocalRandom random = ThreadLocalRandom.current();
    int first = random.nextInt(candidates.size());
    int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
    UpstreamState firstCandidate = candidates.get(first);
    UpstreamState secondCandidate = candidates.get(second);
    return cost(firstCandidate) <= cost(secondCandidate) ? firstCandidate : secondCandidate;
  }

  private double cost(UpstreamState state) {
    boolean sameZone = state.definition().availabilityZone().equals(availabilityZone);
    double latency = Math.max(1, state.latencyNanos());
    return occupancy(state) * latency * (sameZone ? 1 : OTHER_ZONE_FACTOR);
  }

  private static double occupancy(UpstreamState state) {
    double calls = 1 + state.inFlight() + state.otherBoxesInFlight(REPORT_HALF_LIFE);
    return calls / state.definition().slots();
  }
}
