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
    /** The run may only pause or wait. */
    PAUSING,
    /** It is unknown whether the run is still there: it may wait among other requests. */
    UNKNOWN,
    /** The run made events that did not arrive, or it has ended. */
    CONNECTION_LOST
  }

  private final String requestId;
  private OptionalLong firstEvents = OptionalLong.empty();
  private int reportsOfLoss;
  private int reportsWithoutRun;

  /** Creates an observer of the run of a request. */
  public RunObserver(String requestId) {
    this.requestId = requestId;
  }

  /** Adds a report; returns what all reports together say. */
  public Verdict observe(RunReport report) {
    OptionalLong events = report.eventsOf(requestId);
    boolean running = events.isPresent();
    reportsWithoutRun = running ? 0 : reportsWithoutRun + 1;
    boolean progressed = running && events.getAsLong() > firstEvents.orElse(Long.MAX_VALUE);
    boolean ended = !running && report.waitingRequests() == 0;
    reportsOfLoss = progressed || ended ? reportsOfLoss + 1 : 0;
    firstEvents = firstEvents.isPresent() ? firstEvents : events;
    if (reportsOfLoss >= REPORTS_FOR_VERDICT) {
      return Verdict.CONNECTION_LOST;
    }
    return reportsWithoutRun >= REPORTS_FOR_VERDICT ? Verdict.UNKNOWN : Verdict.PAUSING;
  }
}
