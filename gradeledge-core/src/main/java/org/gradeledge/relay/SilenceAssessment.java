package org.gradeledge.relay;

import java.util.Optional;
import org.gradeledge.inspection.RunInspector;
import org.gradeledge.inspection.RunObserver;
import org.gradeledge.inspection.RunReport;

/**
 * Finds out whether the upstream of a silent stream pauses or the connection to it was lost, by
 * asking for reports on new connections, at growing intervals. Confined to the event loop.
 */
final class SilenceAssessment {

  private static final long FIRST_INTERVAL_MILLIS = 300;
  private static final long MAX_INTERVAL_MILLIS = 2_400;

  /** Longer than a sound upstream is silent altogether. */
  private static final long DOUBT_MILLIS = 3_000;

  private final RunInspector inspector;
  private final StreamAttempt attempt;
  private final String requestId;
  private final boolean resumed;
  private RunObserver observer;
  private SilenceVerdict verdict = SilenceVerdict.PAUSING;
  private long silenceStartNanos;
  private boolean begun;
  private long nextInspectionMillis;
  private long intervalMillis;
  private boolean inspecting;

  /**
   * Creates an assessment.
   *
   * @param resumed whether the attempt goes on after events of another one
   */
  SilenceAssessment(
      RunInspector inspector, StreamAttempt attempt, String requestId, boolean resumed) {
    this.inspector = inspector;
    this.attempt = attempt;
    this.requestId = requestId;
    this.resumed = resumed;
    reset();
  }

  /** Called while the attempt is silent; returns what is known, and asks again if that is due. */
  SilenceVerdict assess() {
    if (silenceStartNanos != attempt.lastActivityNanos() || begun != attempt.hasStartedEvents()) {
      reset();
    }
    if (!inspecting && attempt.silentMillis() >= nextInspectionMillis) {
      inspect();
    }
    return verdict;
  }

  private void reset() {
    silenceStartNanos = attempt.lastActivityNanos();
    begun = attempt.hasStartedEvents();
    observer = new RunObserver(requestId, begun, resumed);
    verdict = SilenceVerdict.PAUSING;
    nextInspectionMillis = 0;
    intervalMillis = FIRST_INTERVAL_MILLIS;
  }

  private void inspect() {
    inspecting = true;
    long askedSilenceNanos = silenceStartNanos;
    inspector.inspect(
        attempt.upstream(),
        report -> {
          inspecting = false;
          if (askedSilenceNanos == attempt.lastActivityNanos()) {
            update(report);
          }
        });
  }

  private void update(Optional<RunReport> report) {
    nextInspectionMillis = attempt.silentMillis() + intervalMillis;
    intervalMillis = Math.min(MAX_INTERVAL_MILLIS, 2 * intervalMillis);
    verdict = report.map(observer::observe).map(this::fromReport).orElseGet(this::withoutReport);
  }

  private SilenceVerdict fromReport(RunObserver.Verdict observed) {
    return switch (observed) {
      case PAUSING -> SilenceVerdict.PAUSING;
      case UNKNOWN -> isLongSilent() ? SilenceVerdict.DOUBTFUL : SilenceVerdict.PAUSING;
      case DOUBTFUL -> SilenceVerdict.DOUBTFUL;
      case CONNECTION_LOST -> SilenceVerdict.CONNECTION_LOST;
    };
  }

  private SilenceVerdict withoutReport() {
    return isLongSilent() ? SilenceVerdict.UNANSWERED : SilenceVerdict.PAUSING;
  }

  private boolean isLongSilent() {
    return attempt.silentMillis() >= DOUBT_MILLIS;
  }
}
