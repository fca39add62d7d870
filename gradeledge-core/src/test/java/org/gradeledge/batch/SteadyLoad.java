package org.gradeledge.batch;

import java.util.HashMap;
import java.util.Map;
import org.gradeledge.deployment.BatchLimits;

/**
 * Requests of one piece that arrive at steady rates in a simulation with four upstreams, and the
 * share of them that is served in time.
 */
final class SteadyLoad {

  static final int CALL_MILLIS = 240;
  static final int LEAST_URGENT = 2;

  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000_000, 60_000);
  private static final int UPSTREAMS = 4;

  /** Number of pieces that the upstreams process per second in full calls. */
  static final double CAPACITY_PER_SECOND =
      UPSTREAMS * LIMITS.maxItemsPerCall() * 1_000.0 / CALL_MILLIS;

  private static final double LATENESS_TOLERANCE = 1.15;

  private final BatchSimulation simulation = new BatchSimulation(LIMITS, "z", "z", "z", "z");
  private final Map<Integer, Integer> arrived = new HashMap<>();
  private final Map<Integer, Integer> servedInTime = new HashMap<>();
  private final Map<Integer, Double> fractions = new HashMap<>();
  private int requests;

  BatchSimulation simulation() {
    return simulation;
  }

  /**
   * Counts the request of a priority that arrives in this millisecond; returns whether one does.
   */
  boolean arrives(int priority, double perSecond) {
    double due = fractions.merge(priority, perSecond / 1_000, Double::sum);
    if (due < 1) {
      return false;
    }
    fractions.put(priority, due - 1);
    arrived.merge(priority, 1, Integer::sum);
    return true;
  }

  /** Returns the time after which the queue is expected to process a new piece of a priority. */
  long backlogMillis(int priority) {
    return simulation.coordinator().backlogMillisOf(BatchSimulation.SERVICE, priority);
  }

  /** Returns whether admission accepts a request that is expected to take the given time. */
  static boolean isAdmitted(long expectedMillis, long targetMillis) {
    return expectedMillis <= targetMillis * LATENESS_TOLERANCE;
  }

  /**
   * Submits the piece of a request.
   *
   * @param targetAtMillis time until which it is served in time
   */
  void submit(int priority, long targetAtMillis, boolean first) {
    long dueMillis = targetAtMillis - simulation.nowMillis();
    simulation
        .coordinator()
        .submit(
            StageGroups.due("r" + requests++, 1, priority, dueMillis, first),
            result -> {
              boolean inTime = simulation.nowMillis() <= targetAtMillis;
              if (result.outcome() == StageOutcome.MADE && inTime) {
                servedInTime.merge(priority, 1, Integer::sum);
              }
            });
  }

  /** Returns the share of the requests of a priority that was served in time. */
  double share(int priority) {
    return (double) servedInTime.getOrDefault(priority, 0) / arrived.get(priority);
  }
}
