package org.gradeledge.change;

import java.util.List;
import org.gradeledge.document.Fault;

/**
 * The result of a submission, as reported to the operator.
 *
 * @param record the submission and its state
 * @param inForceOn boxes that confirmed that they have the version in force; if accepted, the other
 *     boxes refuse requests of the pipeline until they have it
 * @param faults validation errors of the file
 * @since 0.1
 */
public record SubmissionResult(
    SubmissionRecord record, List<String> inForceOn, List<Fault> faults) {

  private static final int ACCEPTED = 202;

  /** Copies the lists. */
  public SubmissionResult {
    inForceOn = List.copyOf(inForceOn);
    faults = List.copyOf(faults);
  }

  static SubmissionResult of(SubmissionRecord record) {
    return new SubmissionResult(record, List.of(), List.of());
  }

  /** Returns the HTTP status of the response to the operator. */
  public int httpStatus() {
    return record.state().isSettled() ? record.cause().httpStatus() : ACCEPTED;
  }
}
