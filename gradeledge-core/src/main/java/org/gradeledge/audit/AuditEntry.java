package org.gradeledge.audit;

/**
 * One verdict on a change of configuration.
 *
 * @param atMillis wall-clock time of the verdict; for people, nothing is decided by it
 * @param operator who submitted the change
 * @param pipeline which pipeline it changes
 * @param submissionId the submission
 * @param baseVersion version that it was based on, 0 for a new pipeline
 * @param version version that it became or would have become
 * @param digest SHA-256 of the file
 * @param verdict accepted or refused
 * @param reason why it was refused, empty where accepted
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

  /** Prefix of all audit rows. */
  public static final String PREFIX = "audit/";

  /** Returns the key of the entry's row; keys of one pipeline sort by time. */
  public String rowKey() {
    return PREFIX + pipeline + "/" + String.format("%013d", atMillis) + "-" + submissionId;
  }
}
