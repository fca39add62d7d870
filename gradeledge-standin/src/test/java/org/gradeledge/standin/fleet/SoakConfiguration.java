package org.gradeledge.standin.fleet;

/** The configuration of a run, to which routes are added. Thread-safe. */
final class SoakConfiguration {

  private final StoreStandIn store;
  private int version = 1;
  private String routes = "";

  /** Writes the first configuration. */
  SoakConfiguration(StoreStandIn store) {
    this.store = store;
    write();
  }

  /** Adds a route and returns its path prefix. */
  synchronized String addRoute() {
    version++;
    String prefix = "/add-" + version + "/";
    routes += "," + FleetConfiguration.route(prefix, "idempotent", "plain", "");
    write();
    return prefix;
  }

  /** Writes the current configuration, even if the store already has it. */
  synchronized void write() {
    store.put("op", "config", FleetConfiguration.configuration(version, routes));
  }
}
