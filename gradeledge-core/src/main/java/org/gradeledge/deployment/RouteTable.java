package org.gradeledge.deployment;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The routes of a deployment, found by host and longest path prefix. Immutable.
 *
 * @since 0.2
 */
public final class RouteTable {

  private static final Comparator<RouteDefinition> LONGEST_FIRST =
      Comparator.comparingInt((RouteDefinition route) -> route.pathPrefix().length()).reversed();

  private final Map<String, List<RouteDefinition>> routesByHost;

  /** Creates the table. */
  public RouteTable(Collection<RouteDefinition> routes) {
    Map<String, List<RouteDefinition>> grouped =
        routes.stream().collect(Collectors.groupingBy(RouteDefinition::host));
    this.routesByHost = new HashMap<>();
    grouped.forEach(
        (host, list) -> routesByHost.put(host, list.stream().sorted(LONGEST_FIRST).toList()));
  }

  /**
   * Returns the route of a request.
   *
   * @param host as the caller sent it; a port and the case are ignored
   * @param path without the query
   */
  public Optional<RouteDefinition> find(String host, String path) {
    return routesByHost.getOrDefault(withoutPort(host).toLowerCase(Locale.ROOT), List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
  }
}
