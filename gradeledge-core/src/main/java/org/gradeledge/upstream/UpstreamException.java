package org.gradeledge.upstream;

import org.gradeledge.verdict.GradeledgeException;
import org.gradeledge.verdict.RefusalReason;
import org.gradeledge.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * A call to an upstream that gave no usable answer, with whether it may have run there.
 *
 * @since 0.1
 */
public final class UpstreamException extends GradeledgeException {

  private final transient Verdict verdict;
  private final transient RefusalReason reason;

  /** Creates an exception that names the upstream and what went wrong. */
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

  /** Returns what to tell the caller if nobody else can do it. */
  public RefusalReason reason() {
    return reason;
  }
}
