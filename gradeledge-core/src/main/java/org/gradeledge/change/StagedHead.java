package org.gradeledge.change;

/**
 * Value of the row that holds the staged submission of a pipeline, at most one at a time.
 *
 * @param record the submission
 * @since 0.1
 */
public record StagedHead(SubmissionRecord record) {

  /** Prefix of the row keys. */
  public static final String PREFIX = "head/staged/";

  static String rowKey(String pipeline) {
    return PREFIX + pipeline;
  }
}
