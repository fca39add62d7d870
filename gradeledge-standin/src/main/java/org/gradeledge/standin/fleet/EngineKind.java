package org.gradeledge.standin.fleet;

/** Kinds of engines, by their responses. */
public enum EngineKind {
  /** Responds with a plain body. */
  PLAIN("plain"),
  /** Responds with an event stream. */
  STREAM("model"),
  /** Computes pieces of stages. */
  STAGE("stage");

  private final String service;

  EngineKind(String service) {
    this.service = service;
  }

  /** Returns the service of these engines in {@link FleetConfiguration}. */
  String service() {
    return service;
  }
}
