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
  private RunObserver observer;
  private SilenceVerdict verdict = SilenceVerdict.PAUSING;
  private long silenceStartNanos;
  private long nextInspectionMillis;
  private long intervalMillis;
  private boolean inspecting;

  SilenceAssessment(RunInspector inspector, StreamAttempt attempt, String requestId) {
    this.inspector = inspector;
    this.attempt = attempt;
    this.requestId = requestId;
    this.observer = new RunObserver(requestId);
    reset();
  }

  /** Called while the attempt is silent; returns what is known, and asks again if that is due. */
  SilenceVerdict assess() {
    if (silenceStartNanos != attempt.lastActivityNanos()) {
      reset();
    }
    if (!inspecting && attempt.silentMillis() >= nextInspectionMillis) {
      inspect();
    }
    return verdict;
  }

  private void reset() {
    silenceStartNanos = attempt.lastActivityNanos();
    observer = new RunObserver(requestId);
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
    RunObserver.Verdict observed =
        report.map(observer::observe).orElse(RunObserver.Verdict.UNKNOWN);
    verdict =
        switch (observed) {
          case CONNECTION_LOST -> SilenceVerdict.CONNECTION_LOST;
          case PAUSING -> SilenceVerdict.PAUSING;
          case UNKNOWN ->
              attempt.silentMillis() >= DOUBT_MILLIS
                  ? SilenceVerdict.DOUBTFUL
                  : SilenceVerdict.PAUSING;
        };
  }
}
