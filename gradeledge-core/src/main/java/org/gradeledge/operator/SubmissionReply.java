package org.gradeledge.operator;

import java.util.List;
import java.util.Optional;
import org.gradeledge.change.RefusalCause;
import org.gradeledge.change.SubmissionResult;
import org.gradeledge.change.SubmissionState;
import org.gradeledge.document.Fault;

/**
 * The response to a submission.
 *
 * @param submissionId identifier of the submission, empty if the request was invalid
 * @param state state of the submission
 * @param version the resulting pipeline version, empty unless accepted
 * @param cause why it was refused
 * @param detail description of the cause
 * @param inForceOn boxes on which the version is in force
 * @param faults validation errors
 * @since 0.1
 */
public record SubmissionReply(
    Optional<String> submissionId,
    SubmissionState state,
    Optional<Long> version,
    RefusalCause cause,
    String detail,
    List<String> inForceOn,
    List<Fault> faults) {

  static SubmissionReply of(SubmissionResult result) {
    boolean accepted = result.record().state() == SubmissionState.ACCEPTED;
    return new SubmissionReply(
        Optional.of(result.record().id()),
        result.record().state(),
        accepted ? Optional.of(result.record().version()) : Optional.empty(),
        result.record().cause(),
        result.record().detail(),
        result.inForceOn(),
        result.faults());
  }

  static SubmissionReply invalid(List<Fault> faults) {
    return new SubmissionReply(
        Optional.empty(),
        SubmissionState.REFUSED,
        Optional.empty(),
        RefusalCause.INVALID_FILE,
        faults.size() + " faults",
        List.of(),
        faults);
  }
}
