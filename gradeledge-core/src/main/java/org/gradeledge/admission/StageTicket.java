package org.gradeledge.admission;

import java.time.Duration;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.time.Deadline;

/**
 * A stage call that asks to start.
 *
 * @param account whose request it belongs to
 * @param deadline when the whole request must be answered
 * @param estimatedRemaining estimate of the time that this stage and those after it take
 * @since 0.1
 */
public record StageTicket(
    AccountDefinition account, Deadline deadline, Duration estimatedRemaining) {

  /** Returns whether the deadline can still be met if the call starts now. */
  public boolean canMeetDeadline() {
    return deadline.remaining().compareTo(estimatedRemaining) > 0;
  }

  /** Returns how long the call can wait and still be answered in time. */
  public Duration slack() {
    Duration slack = deadline.remaining().minus(estimatedRemaining);
    return slack.isNegative() ? Duration.ZERO : slack;
  }
}
