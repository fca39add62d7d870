package org.gradeledge.routing;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.gradeledge.configuration.UpstreamDefinition;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.upstream.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * State of one upstream as seen by this box: calls in flight, latest load report, leaving, and
 * ejection after failures.
 *
 * <p>Keyed by address, so that all pipelines that use an upstream share it. Thread-safe.
 *
 * @since 0.1
 */
public final class UpstreamState {

  private static final int FAILURES_TO_EJECT = 3;
  private static final Duration INITIAL_EJECTION = Duration.ofSeconds(1);
  private static final int MAX_EJECTION_DOUBLINGS = 5;
  private static final double LATENCY_SMOOTHING_FACTOR = 0.1;

  private record ReceivedReport(LoadReport report, int ownInFlight, long receivedAtNanos) {}

  private record LeavingIncarnation(long incarnation) {}

  private volatile UpstreamDefinition definition;
  private final MonotonicClock clock;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger consecutiveFailures = new AtomicInteger();
  private final AtomicInteger ejections = new AtomicInteger();
  private final AtomicReference<@Nullable ReceivedReport> latestReport = new AtomicReference<>();
  private final AtomicReference<@Nullable LeavingIncarnation> latestLeaving =
      new AtomicReference<>();
  private volatile boolean listedLeaving;
  private volatile long ejectedUntilNanos;
  private volatile boolean ejected;
  private volatile double latencyNanos;

  UpstreamState(UpstreamDefinition definition, MonotonicClock clock) {
    this.definition = definition;
    this.clock = clock;
  }

  /** Returns the definition from the latest pipeline file. */
  public UpstreamDefinition definition() {
    return definition;
  }

  void updateDefinition(UpstreamDefinition value) {
    definition = value;
  }

  /** Records the start of a call. */
  public void recordCallStarted() {
    inFlight.incrementAndGet();
  }

  /** Records a successful call and its duration; ends an ejection. */
  public void recordCallSucceeded(long nanos) {
    inFlight.decrementAndGet();
    consecutiveFailures.set(0);
    ejections.set(0);
    ejected = false;
    latencyNanos =
        latencyNanos == 0
            ? nanos
            : latencyNanos + LATENCY_SMOOTHING_FACTOR * (nanos - latencyNanos);
  }

  /**
   * Records a call that failed due to the upstream; consecutive failures eject the upstream, for
   * exponentially increasing times.
   */
  public void recordCallFailed() {
    inFlight.decrementAndGet();
    if (consecutiveFailures.incrementAndGet() >= FAILURES_TO_EJECT) {
      int doublings = Math.min(ejections.getAndIncrement(), MAX_EJECTION_DOUBLINGS);
      ejectedUntilNanos = clock.nanos() + (INITIAL_EJECTION.toNanos() << doublings);
      ejected = true;
    }
  }

  /** Records a cancelled call, which does not count as a failure. */
  public void recordCallCancelled() {
    inFlight.decrementAndGet();
  }

  /**
   * Applies a load report unless a newer one is known. Leaving is not reverted by later reports of
   * the same incarnation.
   */
  public void applyReport(LoadReport report) {
    ReceivedReport received = new ReceivedReport(report, inFlight.get(), clock.nanos());
    ReceivedReport latest =
        latestReport.accumulateAndGet(
            received,
            (known, candidate) ->
                known == null || candidate.report().isAfter(known.report()) ? candidate : known);
    if (latest == received && report.leaving()) {
      markLeaving(report.incarnation());
    }
  }

  /** Marks the current incarnation as leaving. */
  public void markLeaving() {
    markLeaving(latestIncarnation());
  }

  /**
   * Sets whether the platform's list shows the upstream as leaving; unlike an announcement, this
   * can be reverted.
   */
  public void setListedLeaving(boolean value) {
    listedLeaving = value;
  }

  /** Marks an incarnation as leaving. */
  public void markLeaving(long incarnation) {
    latestLeaving.accumulateAndGet(
        new LeavingIncarnation(incarnation),
        (known, candidate) ->
            known == null || candidate.incarnation() > known.incarnation() ? candidate : known);
  }

  /** Returns the incarnation that is leaving, if no later one is known. */
  public OptionalLong leavingIncarnation() {
    LeavingIncarnation current = latestLeaving.get();
    return current != null && current.incarnation() >= latestIncarnation()
        ? OptionalLong.of(current.incarnation())
        : OptionalLong.empty();
  }

  /** Returns whether the upstream accepts no new requests. */
  public boolean isLeaving() {
    return listedLeaving || leavingIncarnation().isPresent();
  }

  /** Returns the latest incarnation that has sent a load report, 0 if none has. */
  public long latestIncarnation() {
    ReceivedReport last = latestReport.get();
    return last == null ? 0 : last.report().incarnation();
  }

  /** Returns whether the upstream is currently ejected after failures. */
  public boolean isEjected() {
    return ejected && clock.nanos() - ejectedUntilNanos < 0;
  }

  /** Returns the number of calls in flight from this box. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the moving average of the call latency in nanoseconds, 0 if there is none yet. */
  public double latencyNanos() {
    return latencyNanos;
  }

  /**
   * Returns the estimated number of calls of other boxes: those in the latest report beyond the
   * calls of this box, decayed exponentially by the age of the report.
   *
   * @param halfLife age at which a report counts half
   */
  public double otherBoxesInFlight(Duration halfLife) {
    ReceivedReport last = latestReport.get();
    if (last == null) {
      return 0;
    }
    int total = last.report().inFlight() + last.report().queued();
    double age = (double) (clock.nanos() - last.receivedAtNanos()) / halfLife.toNanos();
    return Math.max(0, total - last.ownInFlight()) * Math.pow(0.5, age);
  }
}
