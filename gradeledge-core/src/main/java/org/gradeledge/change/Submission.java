package org.gradeledge.change;

import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.configuration.TextDigest;

/**
 * A pipeline file submitted by an operator.
 *
 * @param id id from the operator; a repeated submission with this id gets the same verdict
 * @param operator name of the operator
 * @param baseVersion version that the file replaces, 0 for a new pipeline
 * @param text the file as submitted
 * @param file the parsed file
 * @since 0.1
 */
public record Submission(
    String id, String operator, long baseVersion, byte[] text, PipelineFile file) {

  /** Returns the name of the pipeline that the file configures. */
  public String pipeline() {
    return file.pipeline();
  }

  /** Returns the pipeline version that results if the submission is accepted. */
  public PipelineVersion proposed() {
    return new PipelineVersion(baseVersion + 1, id, text, file);
  }

  /** Returns the SHA-256 digest of the text. */
  public String digest() {
    return TextDigest.sha256(text);
  }
}
