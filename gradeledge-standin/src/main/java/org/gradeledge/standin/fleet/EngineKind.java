package org.gradeledge.standin.fleet;

/** What an engine does. */
public enum EngineKind {
  /** Answers with a body. */
  PLAIN,
  /** Answers with a stream of events. */
  STREAM,
  /** Makes pieces of stages. */
  STAGE
}
