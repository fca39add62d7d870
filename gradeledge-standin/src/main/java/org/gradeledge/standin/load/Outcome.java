package org.gradeledge.standin.load;

/**
 * What became of one request.
 *
 * @param pipeline which pipeline
 * @param account whose request
 * @param kind "completed", "late", "wrong", or the reason of a refusal
 * @param nanos time from when it was due to its answer
 */
public record Outcome(String pipeline, String account, String kind, long nanos) {

  /** Answered whole within its deadline. */
  public static final String COMPLETED = "completed";

  /** Answered whole, but late. */
  public static final String LATE = "late";

  /** Answered with what is not its own. */
  public static final String WRONG = "wrong";
}
