package org.gradeledge.operator;

import java.util.List;
import java.util.Optional;
import org.gradeledge.change.RefusalCause;
import org.gradeledge.change.SubmissionResult;
import org.gradeledge.change.SubmissionState;
import org.gradeledge.document.Fault;

/**
 * What an operator gets for a submission.
 *
 * @param submissionId the submission, absent where the file could not be read
 * @param state accepted, refused or unknown
 * @param version the version it became, where accepted
 * @param cause why it was refused
 * @param detail the cause in words
 * @param inForceOn boxes that serve the version
 * @param faults what is wrong with the file
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
