package org.gradeledge.deployment;

/**
 * One of the services that a route's requests are spread over.
 *
 * @param service name of the service
 * @param weight its share among the weights of the route, zero or more
 * @since 0.2
 */
public record WeightedService(String service, int weight) {

  /** Checks the weight. */
  public WeightedService {
    if (weight < 0) {
      throw new IllegalArgumentException("weight must not be negative: " + weight);
    }
  }
}
