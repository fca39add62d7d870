package org.gradeledge.standin.fleet;

/**
 * A request as it reached an engine, whether that ran it or not.
 *
 * @param requestId what the caller names it
 * @param path its path
 * @param incarnation number of the engine's start that got it, from 0
 * @param receivedAtMillis when it came, in milliseconds of a steady clock
 * @param announcement what the engine said of itself in its answer
 * @param backoffMillis for how long it asked for no requests; 0 where that is no time
 */
public record EngineArrival(
    String requestId,
    String path,
    int incarnation,
    long receivedAtMillis,
    EngineAnnouncement announcement,
    long backoffMillis) {

  /** What the answer says of the engine. */
  public enum EngineAnnouncement {
    /** Nothing. */
    SILENT,
    /** That it leaves. */
    LEAVING,
    /** That it turns the request away and wants none for a while. */
    BACKOFF
  }
}
