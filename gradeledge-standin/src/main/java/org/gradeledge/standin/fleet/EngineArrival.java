package org.gradeledge.standin.fleet;

/**
 * A request as it reached an engine, whether that ran it or not.
 *
 * @param id what the caller names it
 * @param path its path
 * @param millis when it came, by a steady clock
 * @param answer what the engine said of itself in its answer
 */
public record EngineArrival(String id, String path, long millis, Answer answer) {

  /** What the answer says of the engine. */
  public enum Answer {
    /** Nothing. */
    SILENT,
    /** That it leaves. */
    LEAVING,
    /** That it turns the request away and wants none for a while. */
    BACKOFF
  }
}
