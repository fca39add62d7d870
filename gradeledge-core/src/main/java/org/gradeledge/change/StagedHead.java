package org.gradeledge.change;

/**
 * Value of the row that says which submission of a pipeline is being prepared; there is one at
 * most.
 *
 * @param record the submission
 * @since 0.1
 */
public record StagedHead(SubmissionRecord record) {

  /** Prefix of these rows. */
  public static final String PREFIX = "head/staged/";

  static String rowKey(String pipeline) {
    return PREFIX + pipeline;
  }
}
