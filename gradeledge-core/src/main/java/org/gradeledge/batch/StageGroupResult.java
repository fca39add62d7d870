package org.gradeledge.batch;

import java.util.List;

/**
 * What came of a group of pieces.
 *
 * @param outcome how it ended
 * @param handles where the results lie, in the order of the pieces; empty unless made
 * @param box the box that made the calls
 * @param comeBackMillis when asking again may help, where it was not made
 * @param waitedMillis how long its pieces waited, until the last call for them began
 * @since 0.2
 */
public record StageGroupResult(
    StageOutcome outcome,
    List<String> handles,
    String box,
    long comeBackMillis,
    long waitedMillis) {}
