package org.gradeledge.batch;

import java.util.List;

/**
 * The result of a group of pieces.
 *
 * @param outcome outcome of the group
 * @param handles handles of the results in the order of the pieces; empty unless all were computed
 * @param box id of the box that made the calls
 * @param comeBackMillis suggested delay before a retry of the request, if the group failed
 * @param waitedMillis time from submission to the start of the last call
 * @param endedUpstreams upstream incarnations that crashed while they computed the pieces
 * @since 0.2
 */
public record StageGroupResult(
    StageOutcome outcome,
    List<String> handles,
    String box,
    long comeBackMillis,
    long waitedMillis,
    List<String> endedUpstreams) {

  /** Creates a result with copies of the lists. */
  public StageGroupResult {
    handles = List.copyOf(handles);
    endedUpstreams = List.copyOf(endedUpstreams);
  }

  /** Creates a result without crashed upstreams. */
  public StageGroupResult(
      StageOutcome outcome,
      List<String> handles,
      String box,
      long comeBackMillis,
      long waitedMillis) {
    this(outcome, handles, box, comeBackMillis, waitedMillis, List.of());
  }
}
