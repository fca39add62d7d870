package org.gradeledge.standin.fleet;

/** What an engine does. */
public enum EngineKind {
  /** Answers with a body. */
  PLAIN("plain"),
  /** Answers with a stream of events. */
  STREAM("model"),
  /** Makes pieces of stages. */
  STAGE("stage");

  private final String service;

  EngineKind(String service) {
    this.service = service;
  }

  /** Returns the service that engines of this kind serve in the small deployment. */
  String service() {
    return service;
  }
}
