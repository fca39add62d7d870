package org.gradeledge.change;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.gradeledge.audit.AuditEntry;

/**
 * Value of a submission's row: its origin and its current state.
 *
 * @param id identifier of the submission
 * @param operator name of the operator who submitted it
 * @param pipeline name of the pipeline that it changes
 * @param baseVersion version that it replaces, 0 for a new pipeline
 * @param version version that results if accepted
 * @param digest SHA-256 digest of the file
 * @param state current state
 * @param cause why it was refused, {@link RefusalCause#NONE} otherwise
 * @param detail description of the cause, such as the box or version concerned
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

  SubmissionRecord refused(RefusalCause newCause, String detailText) {
    return withState(SubmissionState.REFUSED, newCause, detailText);
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
      SubmissionState newState, RefusalCause newCause, String detailText) {
    return new SubmissionRecord(
        id, operator, pipeline, baseVersion, version, digest, newState, newCause, detailText);
  }
}
