package org.gradeledge.deployment;

import java.util.List;

/**
 * A route: which requests it takes, which services run them and within which bounds.
 *
 * @param name unique name
 * @param host host that it answers to, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param repeatability what may be repeated
 * @param timeoutMillis longest time that a request may be held
 * @param targetLatencyMillis time within which an answer earns its full worth
 * @param priority 0 is the most urgent
 * @param maxAttempts most upstreams that may run one request
 * @param services where requests go, by weight
 * @param stages work that comes first, in the order of its numbers
 * @param publicAccess whether requests need no key
 * @since 0.2
 */
public record RouteDefinition(
    String name,
    String host,
    String pathPrefix,
    Repeatability repeatability,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    int maxAttempts,
    List<WeightedService> services,
    List<StageWork> stages,
    boolean publicAccess) {

  /** Copies the lists and checks the bounds. */
  public RouteDefinition {
    services = List.copyOf(services);
    stages = List.copyOf(stages);
    if (timeoutMillis <= 0 || maxAttempts <= 0 || services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " must have bounds and a service");
    }
  }

  /**
   * Returns the service that runs a request.
   *
   * @param draw any number that is spread evenly over requests
   */
  public String selectService(int draw) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    if (total == 0) {
      return services.get(0).service();
    }
    int left = Math.floorMod(draw, total);
    for (WeightedService candidate : services) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate.service();
      }
    }
    return services.get(0).service();
  }
}
