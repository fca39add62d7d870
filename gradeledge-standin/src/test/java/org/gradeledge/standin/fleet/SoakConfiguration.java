package org.gradeledge.standin.fleet;

import java.util.ArrayList;
import java.util.List;

/** The configuration of a run, to which routes are added. Thread-safe. */
final class SoakConfiguration {

  private final StoreStandIn store;
  private int version = 1;
  private String routes = "";
  private final List<String> prefixes = new ArrayList<>(FleetConfiguration.PATHS);

  /** Writes the first configuration. */
  SoakConfiguration(StoreStandIn store) {
    this.store = store;
    write();
  }

  /** Adds a route and returns its path prefix. */
  synchronized String addRoute() {
    version++;
    String prefix = "/add-" + version + "/";
    routes += "," + SoakRouteForm.ofRoute(version).routeWithTarget(prefix);
    prefixes.add(prefix);
    write();
    return prefix;
  }

  /** Returns the path prefixes of all routes. */
  synchronized List<String> prefixes() {
    return List.copyOf(prefixes);
  }

  /** Writes the current configuration, even if the store already has it. */
  synchronized void write() {
    store.put("op", "config", FleetConfiguration.configuration(version, routes));
  }
}
