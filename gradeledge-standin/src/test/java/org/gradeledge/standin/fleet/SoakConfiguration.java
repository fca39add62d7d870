package org.gradeledge.standin.fleet;

/** The configuration of a run, which only grows. Thread-safe. */
final class SoakConfiguration {

  private final StoreStandIn store;
  private int version = 1;
  private String routes = "";

  /** Writes the first configuration. */
  SoakConfiguration(StoreStandIn store) {
    this.store = store;
    write();
  }

  /** Adds a route; returns its prefix. */
  synchronized String addRoute() {
    version++;
    String prefix = "/add-" + version + "/";
    routes += "," + FleetConfiguration.route(prefix, "idempotent", "plain", "");
    write();
    return prefix;
  }

  /** Writes the newest configuration, also where the store holds it. */
  synchronized void write() {
    store.put("op", "config", FleetConfiguration.configuration(version, routes));
  }
}
