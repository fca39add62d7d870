package org.gradeledge.batch;

import org.gradeledge.deployment.Urgency;
import org.gradeledge.time.MonotonicClock;

/**
 * Guarantees each priority a share of the pieces that one service processes, so that more urgent
 * work cannot exclude it for long. All pieces of a priority draw on its guarantee, so a priority
 * that is processed at that rate anyway precedes no other. Confined to the event loop.
 */
final class GuaranteedShares {

  /** Share of the throughput that one priority is guaranteed. */
  private static final double SHARE_PER_PRIORITY = 0.1;

  /** Bounds what more urgent work loses where there are many priorities. */
  private static final double MAX_TOTAL_SHARE = 0.25;

  /** How long an unused guarantee, or processing beyond it, counts. */
  private static final double MEMORY_SECONDS = 1;

  private static final double NANOS_PER_SECOND = 1e9;

  private final MonotonicClock clock;
  private final double[] credits = new double[Urgency.LEVELS];
  private double piecesPerSecond;
  private long refilledAtNanos;

  GuaranteedShares(MonotonicClock clock) {
    this.clock = clock;
    this.refilledAtNanos = clock.nanos();
  }

  /**
   * Adds to the guarantees what has accrued since the last call.
   *
   * @param throughput pieces per second that all upstreams process
   * @param activePriorities number of priorities that have pieces
   */
  void refill(double throughput, int activePriorities) {
    long now = clock.nanos();
    double accrued = piecesPerSecond * (now - refilledAtNanos) / NANOS_PER_SECOND;
    refilledAtNanos = now;
    double sharePerPriority =
        Math.min(SHARE_PER_PRIORITY, MAX_TOTAL_SHARE / Math.max(1, activePriorities));
    piecesPerSecond = throughput * sharePerPriority;
    for (int level = 0; level < credits.length; level++) {
      credits[level] = Math.min(piecesPerSecond * MEMORY_SECONDS, credits[level] + accrued);
    }
  }

  /** Returns the pieces of a priority that are guaranteed now; negative after more than that. */
  double credit(int priority) {
    return credits[PendingPieces.level(priority)];
  }

  /** Returns the guaranteed rate of each priority. */
  double piecesPerSecond() {
    return piecesPerSecond;
  }

  /**
   * Records a piece that an upstream begins to process.
   *
   * @param guaranteed whether it precedes others because of its guarantee; all such pieces count,
   *     others only down to the credit of {@link #MEMORY_SECONDS}
   */
  void recordStarted(int priority, boolean guaranteed) {
    int level = PendingPieces.level(priority);
    double lowest = -piecesPerSecond * MEMORY_SECONDS;
    if (guaranteed || credits[level] > lowest) {
      credits[level]--;
    }
  }
}
