package org.gradeledge.deployment;

import java.util.Map;
import java.util.Optional;

/**
 * A whole configuration of relayed routes; it takes effect as a whole or not at all. Immutable.
 *
 * @param revision rises with each configuration
 * @param routes the routes
 * @param services the services by name
 * @param accounts the client accounts by key
 * @param keysRequired whether routes that are not open need a key
 * @param callerLimits what callers may send
 * @param document the bytes that it was read from, for peers that could not read them
 * @since 0.2
 */
public record Deployment(
    long revision,
    RouteTable routes,
    Map<String, ServiceDefinition> services,
    Map<String, ClientAccount> accounts,
    boolean keysRequired,
    CallerLimits callerLimits,
    byte[] document) {

  /** Copies the maps. */
  public Deployment {
    services = Map.copyOf(services);
    accounts = Map.copyOf(accounts);
  }

  /** Returns a service, empty where it is not defined. */
  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  @Override
  public String toString() {
    return "Deployment[revision=" + revision + "]";
  }
}
