package org.gradeledge.audit;

/**
 * The audit record of a verdict on a configuration change.
 *
 * @param atMillis wall-clock time of the verdict, for information only
 * @param operator name of the operator who submitted the change
 * @param pipeline name of the changed pipeline
 * @param submissionId identifier of the submission
 * @param baseVersion version that the change replaces, 0 for a new pipeline
 * @param version version that results if accepted
 * @param digest SHA-256 digest of the pipeline file
 * @param verdict accepted or refused
 * @param reason why it was refused, empty if accepted
 * @since 0.1
 */
public record AuditEntry(
    long atMillis,
    String operator,
    String pipeline,
    String submissionId,
    long baseVersion,
    long version,
    String digest,
    String verdict,
    String reason) {

  /** Prefix of the keys of all audit rows. */
  public static final String PREFIX = "audit/";

  /** Returns the row key; the keys of a pipeline sort by time. */
  public String rowKey() {
    return PREFIX + pipeline + "/" + String.format("%013d", atMillis) + "-" + submissionId;
  }
}
