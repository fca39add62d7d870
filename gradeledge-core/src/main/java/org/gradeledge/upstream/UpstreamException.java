package org.gradeledge.upstream;

import org.gradeledge.verdict.GradeledgeException;
import org.gradeledge.verdict.RefusalReason;
import org.gradeledge.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Thrown when an upstream call returns no usable response; states whether the call may have run.
 *
 * @since 0.1
 */
public final class UpstreamException extends GradeledgeException {

  private final transient Verdict verdict;
  private final transient RefusalReason reason;

  /** Creates an exception whose message names the upstream and the failure. */
  public UpstreamException(
      Verdict verdict, RefusalReason reason, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.verdict = verdict;
    this.reason = reason;
  }

  /** Returns whether the call may have run. */
  public Verdict verdict() {
    return verdict;
  }

  /** Returns the reason to report to the caller if no other upstream can serve the request. */
  public RefusalReason reason() {
    return reason;
  }
}
