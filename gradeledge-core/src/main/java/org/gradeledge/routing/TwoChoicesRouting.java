package org.gradeledge.routing;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Takes the less loaded of two random candidates.
 *
 * <p>Load is the expected wait: own calls plus what the aged report shows of others', over the
 * slots, times the usual time of a call there. An upstream in another zone must be better by a
 * margin.
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
    UpstreamState one = candidates.get(first);
    UpstreamState other = candidates.get(second);
    return cost(one) <= cost(other) ? one : other;
  }

  private double cost(UpstreamState state) {
    boolean near = state.definition().availabilityZone().equals(availabilityZone);
    double latency = Math.max(1, state.latencyNanos());
    return occupancy(state) * latency * (near ? 1 : OTHER_ZONE_FACTOR);
  }

  private static double occupancy(UpstreamState state) {
    double calls = 1 + state.inFlight() + state.otherBoxesInFlight(REPORT_HALF_LIFE);
    return calls / state.definition().slots();
  }
}
