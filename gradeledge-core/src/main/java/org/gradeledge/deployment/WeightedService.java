package org.gradeledge.deployment;

/**
 * A service of a route and its weight.
 *
 * @param service name of the service
 * @param weight share of requests relative to the other services of the route, zero or more
 * @since 0.2
 */
public record WeightedService(String service, int weight) {

  /** Validates the weight. */
  public WeightedService {
    if (weight < 0) {
      throw new IllegalArgumentException("weight must not be negative: " + weight);
    }
  }
}
