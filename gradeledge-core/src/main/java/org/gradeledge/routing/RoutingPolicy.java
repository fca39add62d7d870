package org.gradeledge.routing;

import java.util.Arrays;
import java.util.Locale;

/**
 * The routing strategies that can be configured in the box settings.
 *
 * @since 0.1
 */
public enum RoutingPolicy {
  /** The better of two random candidates by expected wait and availability zone. */
  TWO_CHOICES {
    @Override
    public RoutingStrategy strategy(String availabilityZone) {
      return new TwoChoicesRouting(availabilityZone);
    }
  },
  /** Baseline: round robin. */
  ROUND_ROBIN {
    @Override
    public RoutingStrategy strategy(String availabilityZone) {
      return new RoundRobinRouting();
    }
  },
  /** Baseline: the fewest calls in flight from this box. */
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

  /** Creates a strategy for a box in the given availability zone. */
  public abstract RoutingStrategy strategy(String availabilityZone);
}
