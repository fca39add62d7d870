package org.gradeledge.standin.fleet;

import java.util.Optional;

/**
 * Run of a request at an engine, with the answer that the engine gives to it.
 *
 * @param signature value of {@code X-Response-Stamp}, which no other run bears
 * @param requestId request id set by the caller, or an empty string
 * @param path request path
 * @param status status of the answer
 * @param extent how much of the answer the engine sends
 * @param body body of the whole answer
 */
public record EngineRun(
    String signature, String requestId, String path, int status, Extent extent, String body) {

  /** How much of its own answer a run sends. */
  public enum Extent {
    /** Less than a head. */
    NO_HEAD,
    /** The head and a part of the body. */
    HEAD,
    /** The head and the body. */
    WHOLE
  }

  /** Returns the status of the whole answer; empty if the answer is cut. */
  public Optional<Integer> answeredStatus() {
    return extent == Extent.WHOLE ? Optional.of(status) : Optional.empty();
  }

  /** Returns the status in the head; empty if the head is cut. */
  public Optional<Integer> headStatus() {
    return extent == Extent.NO_HEAD ? Optional.empty() : Optional.of(status);
  }
}
