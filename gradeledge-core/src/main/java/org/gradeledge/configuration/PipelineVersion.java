package org.gradeledge.configuration;

import java.util.Objects;

/**
 * An accepted or proposed version of a pipeline.
 *
 * <p>Immutable. Keeps the submitted bytes, so that the digest is the same on every box.
 *
 * @param version number, increasing from 1 per pipeline
 * @param submissionId id of the submission
 * @param text submitted file
 * @param file parsed file
 * @since 0.1
 */
public record PipelineVersion(long version, String submissionId, byte[] text, PipelineFile file) {

  /** Validates the version. */
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
