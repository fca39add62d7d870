package org.gradeledge.batch;

import java.util.List;

/**
 * What came of a group of pieces.
 *
 * @param outcome how it ended
 * @param handles where the results lie, in the order of the pieces; empty unless made
 * @param box the box that made the calls
 * @param retryAfterMillis when asking again may help, where it was not made
 * @param waitedMillis how long its pieces waited, until the last call for them began
 * @param crashedUpstreams starts of upstreams that ended while they made its pieces
 * @since 0.2
 */
public record StageGroupResult(
    StageOutcome outcome,
    List<String> handles,
    String box,
    long retryAfterMillis,
    long waitedMillis,
    List<String> crashedUpstreams) {

  /** Copies the lists. */
  public StageGroupResult {
    handles = List.copyOf(handles);
    crashedUpstreams = List.copyOf(crashedUpstreams);
  }

  /** Creates one under whose pieces no upstream has ended. */
  public StageGroupResult(
      StageOutcome outcome,
      List<String> handles,
      String box,
      long comeBackMillis,
      long waitedMillis) {
    this(outcome, handles, box, comeBackMillis, waitedMillis, List.of());
  }
}
