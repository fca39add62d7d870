package org.gradeledge.standin.fleet;

/**
 * Record of a request that an engine received, whether it ran the request or not.
 *
 * @param requestId request id set by the caller
 * @param path request path
 * @param incarnation number of the engine incarnation that received it, from 0
 * @param receivedAtMillis receive time, in milliseconds of a monotonic clock
 * @param announcement state that the engine announced in the response
 * @param backoffMillis requested backoff; 0 if there is none
 */
public record EngineArrival(
    String requestId,
    String path,
    int incarnation,
    long receivedAtMillis,
    EngineAnnouncement announcement,
    long backoffMillis) {

  /** State that an engine announces in a response. */
  public enum EngineAnnouncement {
    /** No announcement. */
    SILENT,
    /** The engine is leaving. */
    LEAVING,
    /** The engine rejects the request and requests a backoff. */
    BACKOFF
  }
}
