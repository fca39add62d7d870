package org.gradeledge.change;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.gradeledge.audit.AuditEntry;

/**
 * Value of a submission's row: what it was and where it stands.
 *
 * @param id the submission
 * @param operator who submitted it
 * @param pipeline which pipeline it changes
 * @param baseVersion version that it was based on
 * @param version version that it becomes if accepted
 * @param digest SHA-256 of the file
 * @param state where it stands
 * @param cause why it was refused
 * @param detail the cause in words, naming the box or version
 * @since 0.1
 */
public record SubmissionRecord(
    String id,
    String operator,
    String pipeline,
    long baseVersion,
    long version,
    String digest,
    SubmissionState state,
    RefusalCause cause,
    String detail) {

  static final String PREFIX = "submission/";

  static SubmissionRecord staged(Submission submission) {
    return new SubmissionRecord(
        submission.id(),
        submission.operator(),
        submission.pipeline(),
        submission.baseVersion(),
        submission.baseVersion() + 1,
        submission.digest(),
        SubmissionState.STAGED,
        RefusalCause.NONE,
        "");
  }

  static String rowKey(String id) {
    return PREFIX + id;
  }

  @JsonIgnore
  String rowKey() {
    return rowKey(id);
  }

  SubmissionRecord accepted() {
    return withState(SubmissionState.ACCEPTED, RefusalCause.NONE, "");
  }

  SubmissionRecord refused(RefusalCause why, String detailText) {
    return withState(SubmissionState.REFUSED, why, detailText);
  }

  SubmissionRecord unknown(String detailText) {
    return withState(SubmissionState.UNKNOWN, RefusalCause.NONE, detailText);
  }

  AuditEntry auditEntry(long atMillis) {
    String reason = cause == RefusalCause.NONE ? "" : cause.wireName() + ": " + detail;
    return new AuditEntry(
        atMillis, operator, pipeline, id, baseVersion, version, digest, state.wireName(), reason);
  }

  private SubmissionRecord withState(
      SubmissionState newState, RefusalCause why, String detailText) {
    return new SubmissionRecord(
        id, operator, pipeline, baseVersion, version, digest, newState, why, detailText);
  }
}
