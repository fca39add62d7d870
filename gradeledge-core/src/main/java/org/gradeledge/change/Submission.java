package org.gradeledge.change;

import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.configuration.TextDigest;

/**
 * A whole file that an operator submits.
 *
 * @param id chosen by the operator; the same id again gives the same verdict
 * @param operator who submits it
 * @param baseVersion version that it replaces, 0 for a new pipeline
 * @param text the file as submitted
 * @param file the file as read
 * @since 0.1
 */
public record Submission(
    String id, String operator, long baseVersion, byte[] text, PipelineFile file) {

  /** Returns the name of the pipeline that it changes. */
  public String pipeline() {
    return file.pipeline();
  }

  /** Returns the version that it becomes if it is accepted. */
  public PipelineVersion proposed() {
    return new PipelineVersion(baseVersion + 1, id, text, file);
  }

  /** Returns the digest of the text. */
  public String digest() {
    return TextDigest.sha256(text);
  }
}
