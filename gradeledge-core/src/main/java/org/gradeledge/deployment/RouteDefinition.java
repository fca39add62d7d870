package org.gradeledge.deployment;

import java.util.List;
import java.util.stream.Stream;

/**
 * A route with the requests that it matches, the services that run them and their limits.
 *
 * @param name unique name
 * @param host host in lower case
 * @param pathPrefix path prefix that starts and ends with a slash
 * @param repeatability whether requests may be repeated
 * @param timeoutMillis maximum duration of a request
 * @param targetLatencyMillis latency up to which an answer has its full value
 * @param priority priority of the route, 0 is the most urgent
 * @param maxAttempts maximum number of upstreams that may run a request
 * @param services services that run requests, by weight
 * @param stages stage work that precedes the request; stages refer to each other by index
 * @param publicAccess whether requests are accepted without a key
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

  /** Validates the limits and copies the lists. */
  public RouteDefinition {
    services = List.copyOf(services);
    stages = List.copyOf(stages);
    if (timeoutMillis <= 0 || maxAttempts <= 0 || services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " must have bounds and a service");
    }
  }

  /** Returns the services that requests of this route may be sent to. */
  public Stream<String> reachableServices() {
    boolean weighted = services.stream().anyMatch(each -> each.weight() > 0);
    return services.stream()
        .filter(each -> each.weight() > 0 || !weighted)
        .map(WeightedService::service);
  }

  /**
   * Selects the service that runs a request.
   *
   * @param draw number that is uniformly distributed over requests
   */
  public String selectService(int draw) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    if (total == 0) {
      return services.get(0).service();
    }
    int remaining = Math.floorMod(draw, total);
    for (WeightedService candidate : services) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return services.get(0).service();
  }
}
