package org.gradeledge.relay;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageOutcome;

/**
 * When the stages of one request began and ended, and what was expected when it was admitted, for
 * the line that tells how the request came to its end. Confined to the event loop.
 */
final class StageTimeline {

  private final RequestClock clock;
  private final Map<Integer, Long> startMillis = new TreeMap<>();
  private final Map<Integer, String> endedStages = new TreeMap<>();
  private long expectedMillis = -1;

  StageTimeline(RequestClock clock) {
    this.clock = clock;
  }

  /** Notes after how long the first event was expected. */
  void setExpectedMillis(double millis) {
    expectedMillis = (long) millis;
  }

  void stageStarted(int stage) {
    startMillis.put(stage, clock.elapsedMillis());
  }

  void stageEnded(int stage, StageGroupResult result) {
    long begun = startMillis.getOrDefault(stage, 0L);
    String outcome = result.outcome() == StageOutcome.MADE ? "" : " " + result.outcome();
    long took = clock.elapsedMillis() - begun;
    endedStages.put(
        stage, stage + "@" + begun + ":" + result.waitedMillis() + "/" + took + outcome);
  }

  /** Returns the expected time to the first event in milliseconds, -1 where none was worked out. */
  long expectedMillis() {
    return expectedMillis;
  }

  /** Returns for each stage that ended: number, start, wait for its last call and whole time. */
  @Override
  public String toString() {
    return endedStages.values().stream().collect(Collectors.joining(" "));
  }
}
