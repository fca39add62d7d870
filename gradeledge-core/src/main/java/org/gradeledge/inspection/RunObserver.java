package org.gradeledge.inspection;

import java.util.OptionalLong;

/**
 * Judges from successive reports of its upstream whether a run from which nothing arrives pauses or
 * its connection was lost. Must be created anew when something arrives. Confined to the event loop.
 */
public final class RunObserver {

  /** One report may have passed an event that is still on its way. */
  private static final int REPORTS_FOR_VERDICT = 2;

  /** What the reports say of a run. */
  public enum Verdict {
    /** The run may only pause. */
    PAUSING,
    /** The run is in no report: it may wait, be in preparation, or have ended. */
    UNKNOWN,
    /** The run is in no report and nothing waits, but nothing has arrived from it either. */
    DOUBTFUL,
    /** The run made events that did not arrive, or it has ended. */
    CONNECTION_LOST
  }

  private final String requestId;
  private final boolean begun;
  private OptionalLong firstEvents;
  private int reportsOfLoss;
  private int reportsWithoutRun;

  /**
   * Creates an observer of the run of a request.
   *
   * @param begun whether events of the run have arrived; until its first event a run is in no
   *     report
   * @param resumed whether the run goes on after events of another one, which its report may count
   */
  public RunObserver(String requestId, boolean begun, boolean resumed) {
    this.requestId = requestId;
    this.begun = begun;
    this.firstEvents = begun || resumed ? OptionalLong.empty() : OptionalLong.of(0);
  }

  /** Adds a report; returns what all reports together say. */
  public Verdict observe(RunReport report) {
    OptionalLong events = report.eventsOf(requestId);
    boolean listed = events.isPresent();
    boolean progressed = listed && events.getAsLong() > firstEvents.orElse(Long.MAX_VALUE);
    boolean absent = !listed && report.waitingRequests() == 0;
    firstEvents = firstEvents.isPresent() ? firstEvents : events;
    reportsOfLoss = progressed || absent ? reportsOfLoss + 1 : 0;
    reportsWithoutRun = listed ? 0 : reportsWithoutRun + 1;
    if (reportsOfLoss >= REPORTS_FOR_VERDICT) {
      return begun || progressed ? Verdict.CONNECTION_LOST : Verdict.DOUBTFUL;
    }
    return reportsWithoutRun >= REPORTS_FOR_VERDICT ? Verdict.UNKNOWN : Verdict.PAUSING;
  }
}
