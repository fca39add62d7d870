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
 * What this box knows of one upstream: its own calls there, the last report, whether it is leaving
 * or ejected.
 *
 * <p>Kept by address, so that all pipelines that name an upstream share it. Thread-safe.
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

  /** Returns the upstream as the newest pipeline file gives it. */
  public UpstreamDefinition definition() {
    return definition;
  }

  void updateDefinition(UpstreamDefinition value) {
    definition = value;
  }

  /** Notes that a call starts. */
  public void recordCallStarted() {
    inFlight.incrementAndGet();
  }

  /** Notes that a call ended with a usable answer after some time. */
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

  /** Notes that a call failed through the upstream's fault; several in a row eject it. */
  public void recordCallFailed() {
    inFlight.decrementAndGet();
    if (consecutiveFailures.incrementAndGet() >= FAILURES_TO_EJECT) {
      int doublings = Math.min(ejections.getAndIncrement(), MAX_EJECTION_DOUBLINGS);
      ejectedUntilNanos = clock.nanos() + (INITIAL_EJECTION.toNanos() << doublings);
      ejected = true;
    }
  }

  /** Notes that a call was cancelled, which says nothing of the upstream. */
  public void recordCallCancelled() {
    inFlight.decrementAndGet();
  }

  /** Takes in a report unless a newer one is known. An explicit leave outlives older reports. */
  public void applyReport(LoadReport report) {
    ReceivedReport next = new ReceivedReport(report, inFlight.get(), clock.nanos());
    ReceivedReport kept =
        latestReport.accumulateAndGet(
            next,
            (old, given) -> old == null || given.report().isAfter(old.report()) ? given : old);
    if (kept == next && report.leaving()) {
      markLeaving(report.incarnation());
    }
  }

  /** Notes that the upstream leaves; holds until it starts anew. */
  public void markLeaving() {
    markLeaving(latestIncarnation());
  }

  /** Notes whether the platform's list says that it leaves; follows the list either way. */
  public void setListedLeaving(boolean value) {
    listedLeaving = value;
  }

  /** Notes that a given incarnation of the upstream leaves. */
  public void markLeaving(long incarnation) {
    latestLeaving.accumulateAndGet(
        new LeavingIncarnation(incarnation),
        (old, given) -> old == null || given.incarnation() > old.incarnation() ? given : old);
  }

  /** Returns the incarnation that said that it leaves, if the newest one did. */
  public OptionalLong leavingIncarnation() {
    LeavingIncarnation current = latestLeaving.get();
    return current != null && current.incarnation() >= latestIncarnation()
        ? OptionalLong.of(current.incarnation())
        : OptionalLong.empty();
  }

  /** Returns whether it is to be given no new work. */
  public boolean isLeaving() {
    return listedLeaving || leavingIncarnation().isPresent();
  }

  /** Returns the newest incarnation heard of, 0 for none. */
  public long latestIncarnation() {
    ReceivedReport last = latestReport.get();
    return last == null ? 0 : last.report().incarnation();
  }

  /** Returns whether its failures keep it from being chosen just now. */
  public boolean isEjected() {
    return ejected && clock.nanos() - ejectedUntilNanos < 0;
  }

  /** Returns this box's own calls in progress there. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the usual time of a call in nanoseconds, 0 while unknown. */
  public double latencyNanos() {
    return latencyNanos;
  }

  /**
   * Returns the calls that others are thought to have there: what the last report showed beyond
   * this box's own, counting for less as the report ages.
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
