package org.gradeledge.deployment;

import java.util.Map;
import java.util.Optional;

/**
 * Immutable configuration of relayed routes, replaced as a whole.
 *
 * @param revision revision, which increases with each configuration
 * @param routes the routes
 * @param services the services by name
 * @param accounts the client accounts by key
 * @param keysRequired whether routes without public access require a key
 * @param callerLimits limits for requests of callers
 * @param document source document, forwarded to boxes that could not read it
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

  /** Creates a configuration with immutable copies of the maps. */
  public Deployment {
    services = Map.copyOf(services);
    accounts = Map.copyOf(accounts);
  }

  /** Returns the service with the given name, or empty if it is not defined. */
  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  @Override
  public String toString() {
    return "Deployment[revision=" + revision + "]";
  }
}
