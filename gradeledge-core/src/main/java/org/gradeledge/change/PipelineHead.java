package org.gradeledge.change;

/**
 * Value of the row that holds the accepted version of a pipeline.
 *
 * @param pipeline name of the pipeline
 * @param version the accepted version
 * @param submissionId the submission that introduced the version
 * @param digest SHA-256 digest of the pipeline file
 * @since 0.1
 */
public record PipelineHead(String pipeline, long version, String submissionId, String digest) {

  /** Prefix of the row keys. */
  public static final String PREFIX = "head/pipeline/";

  static String rowKey(String pipeline) {
    return PREFIX + pipeline;
  }

  /** Returns the key of the pipeline file in the object store. */
  public String objectKey() {
    return objectKey(pipeline, digest);
  }

  static String objectKey(String pipeline, String digest) {
    return "pipeline-" + pipeline + "-" + digest;
  }
}
