package org.gradeledge.standin.load;

/**
 * What became of one request.
 *
 * @param pipeline which pipeline
 * @param account whose request
 * @param kind "completed", "late", "wrong", or the reason of a refusal
 * @param nanos time from when it was due to its answer
 */
record Outcome(String pipeline, String account, String kind, long nanos) {

  static final String COMPLETED = "completed";
  static final String LATE = "late";
  static final String WRONG = "wrong";
}
