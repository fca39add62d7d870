package org.gradeledge.relay;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageOutcome;

/**
 * Records start and end of the stages of one request and their expected duration, for the log line
 * of the request. Confined to the event loop.
 */
final class StageTimeline {

  private final RequestClock clock;
  private final Map<Integer, Long> startMillis = new TreeMap<>();
  private final Map<Integer, String> endedStages = new TreeMap<>();
  private long expectedMillis = -1;
  private Optional<RefusalPoint> refusalPoint = Optional.empty();

  StageTimeline(RequestClock clock) {
    this.clock = clock;
  }

  /** Sets the expected time until the first event. */
  void setExpectedMillis(double millis) {
    expectedMillis = (long) millis;
  }

  void stageStarted(int stage) {
    startMillis.put(stage, clock.elapsedMillis());
  }

  void stageEnded(int stage, StageGroupResult result) {
    if (result.outcome() != StageOutcome.MADE) {
      boolean late = result.outcome() == StageOutcome.LATE;
      refusalPoint = Optional.of(late ? RefusalPoint.STAGE_QUEUE : RefusalPoint.STAGE_WORK);
    }
    long startedAt = startMillis.getOrDefault(stage, 0L);
    String outcome = result.outcome() == StageOutcome.MADE ? "" : " " + result.outcome();
    long durationMillis = clock.elapsedMillis() - startedAt;
    endedStages.put(
        stage,
        stage + "@" + startedAt + ":" + result.waitedMillis() + "/" + durationMillis + outcome);
  }

  /** Records that the stages were not started, as the request would be late. */
  void startRejected() {
    boolean startedBefore = !startMillis.isEmpty();
    refusalPoint = Optional.of(startedBefore ? RefusalPoint.RECOMPUTATION : RefusalPoint.ADMISSION);
  }

  /** Returns the point at which stage work was last refused or failed. */
  Optional<RefusalPoint> refusalPoint() {
    return refusalPoint;
  }

  /**
   * Returns the expected time until the first event in milliseconds, or -1 if it was not estimated.
   */
  long expectedMillis() {
    return expectedMillis;
  }

  /** Returns, for each completed stage, its number, start, wait for its last call and duration. */
  @Override
  public String toString() {
    return endedStages.values().stream().collect(Collectors.joining(" "));
  }
}
