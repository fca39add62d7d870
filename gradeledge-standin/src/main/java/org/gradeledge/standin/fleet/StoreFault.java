package org.gradeledge.standin.fleet;

/** Faults that the store stand-in can inject. */
public enum StoreFault {
  /** No fault. */
  NONE,
  /** Responds with status 503. */
  BUSY,
  /** Does not respond. */
  SILENT,
  /** Responds with status 410 to feed requests because its history is no longer available. */
  FORGETFUL
}
