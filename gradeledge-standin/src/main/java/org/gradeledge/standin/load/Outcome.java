package org.gradeledge.standin.load;

/**
 * Outcome of a request.
 *
 * @param pipeline name of the pipeline
 * @param account name of the client account
 * @param kind "completed", "late", "wrong", or the reason of the failure
 * @param nanos time from the scheduled time to the response
 */
public record Outcome(String pipeline, String account, String kind, long nanos) {

  /** The complete answer arrived within the deadline. */
  public static final String COMPLETED = "completed";

  /** The complete answer arrived after the deadline. */
  public static final String LATE = "late";

  /** The answer does not belong to the request. */
  public static final String WRONG = "wrong";
}
