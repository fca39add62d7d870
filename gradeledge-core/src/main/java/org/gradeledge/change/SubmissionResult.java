package org.gradeledge.change;

import java.util.List;
import org.gradeledge.document.Fault;

/**
 * What an operator is told of a submission.
 *
 * @param record the submission and where it stands
 * @param inForceOn boxes that have said that they serve it; where accepted, all others refuse
 *     requests of the pipeline until they do
 * @param faults what is wrong with the file
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

  /** Returns the HTTP status that tells it. */
  public int httpStatus() {
    return record.state().isSettled() ? record.cause().httpStatus() : ACCEPTED;
  }
}
