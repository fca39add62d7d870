package org.gradeledge.change;

/**
 * Value of the row that says which version of a pipeline is accepted.
 *
 * @param pipeline name of the pipeline
 * @param version the accepted version
 * @param submissionId the submission that brought it
 * @param digest SHA-256 of its text
 * @since 0.1
 */
public record PipelineHead(String pipeline, long version, String submissionId, String digest) {

  /** Prefix of these rows. */
  public static final String PREFIX = "head/pipeline/";

  static String rowKey(String pipeline) {
    return PREFIX + pipeline;
  }

  /** Returns the key of the text in the object store. */
  public String objectKey() {
    return objectKey(pipeline, digest);
  }

  static String objectKey(String pipeline, String digest) {
    return "pipeline-" + pipeline + "-" + digest;
  }
}
