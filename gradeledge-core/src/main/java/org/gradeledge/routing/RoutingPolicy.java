package org.gradeledge.routing;

import java.util.Arrays;
import java.util.Locale;

/**
 * The routing strategies that settings can name.
 *
 * @since 0.1
 */
public enum RoutingPolicy {
  /** Two random choices over load and zone. */
  TWO_CHOICES {
    @Override
    public RoutingStrategy strategy(String availabilityZone) {
      return new TwoChoicesRouting(availabilityZone);
    }
  },
  /** Baseline: one after another. */
  ROUND_ROBIN {
    @Override
    public RoutingStrategy strategy(String availabilityZone) {
      return new RoundRobinRouting();
    }
  },
  /** Baseline: the fewest own calls in progress. */
  LEAST_IN_FLIGHT {
    @Override
    public RoutingStrategy strategy(String availabilityZone) {
      return new LeastInFlightRouting();
    }
  };

  /** Returns the policy with the given name in settings. */
  public static RoutingPolicy ofWireName(String name) {
    return Arrays.stream(values())
        .filter(policy -> policy.wireName().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown routing policy: " + name));
  }

  /** Returns the name used in settings. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns a new strategy for a box in the given zone. */
  public abstract RoutingStrategy strategy(String availabilityZone);
}
