package org.gradeledge.configuration;

import java.util.Objects;

/**
 * One accepted or proposed version of a pipeline.
 *
 * <p>Immutable; the text is kept byte for byte so that its digest holds on every box.
 *
 * @param version counts up from 1 for each pipeline
 * @param submissionId the submission that brought it
 * @param text the file as submitted
 * @param file the file as read
 * @since 0.1
 */
public record PipelineVersion(long version, String submissionId, byte[] text, PipelineFile file) {

  /** Checks the version. */
  public PipelineVersion {
    Objects.requireNonNull(submissionId, "submissionId must be given");
    if (version < 1) {
      throw new IllegalArgumentException("version must be at least 1, but is " + version);
    }
  }

  /** Returns the name of the pipeline. */
  public String pipeline() {
    return file.pipeline();
  }
}
