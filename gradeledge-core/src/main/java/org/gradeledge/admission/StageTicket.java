package org.gradeledge.admission;

import java.time.Duration;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.time.Deadline;

/**
 * A stage call that requires a permit to start.
 *
 * @param account client account of the request
 * @param deadline deadline of the whole request
 * @param estimatedRemaining estimated duration of this stage and the following ones
 * @since 0.1
 */
public record StageTicket(
    AccountDefinition account, Deadline deadline, Duration estimatedRemaining) {

  /** Returns whether the request can meet its deadline if the call starts now. */
  public boolean canMeetDeadline() {
    return deadline.remaining().compareTo(estimatedRemaining) > 0;
  }

  /** Returns how long the call can wait without missing the deadline. */
  public Duration slack() {
    Duration slack = deadline.remaining().minus(estimatedRemaining);
    return slack.isNegative() ? Duration.ZERO : slack;
  }
}
