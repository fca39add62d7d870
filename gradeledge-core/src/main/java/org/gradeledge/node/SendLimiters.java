package org.gradeledge.node;

import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.gradeledge.connection.PooledUpstreamCaller;
import org.gradeledge.connection.SignalReader;
import org.gradeledge.connection.UpstreamSignals;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.discovery.LeavingAnnouncement;
import org.gradeledge.discovery.UnreadableSignalLog;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.limit.UpstreamBackoffs;
import org.gradeledge.limit.UpstreamLimits;
import org.gradeledge.limit.UpstreamRateLimiter;
import org.gradeledge.mesh.BoxMesh;
import org.gradeledge.relay.RelayMetrics;
import org.gradeledge.selection.ColdStartLimiter;
import org.gradeledge.time.MonotonicClock;

/**
 * Creates the limiters that decide whether an upstream accepts another request from this box, and
 * updates them from the signals in answers of upstreams.
 */
final class SendLimiters {

  private final MonotonicClock clock;
  private final UpstreamRegistry upstreams;
  private final Function<String, Optional<ServiceDefinition>> services;
  private final UpstreamLimits limits;
  private final UpstreamBackoffs backoffs;
  private final UnreadableSignalLog unreadableLeavingSignals;

  SendLimiters(
      MonotonicClock clock,
      EventLog events,
      UpstreamRegistry upstreams,
      Function<String, Optional<ServiceDefinition>> services) {
    this.clock = clock;
    this.upstreams = upstreams;
    this.services = services;
    this.limits = new UpstreamLimits(clock, events, upstreams::all);
    this.backoffs = new UpstreamBackoffs(clock, events);
    this.unreadableLeavingSignals = new UnreadableSignalLog(events, "upstream-leaving-unreadable");
  }

  /** Returns the rate limits announced by upstreams. */
  UpstreamLimits limits() {
    return limits;
  }

  /** Registers metrics of announced limits, backoffs and leaving upstreams. */
  void registerMetrics(RelayMetrics metrics, UpstreamRateLimiter rateLimiter) {
    metrics.upstreams().registerLimits(limits::limitedCount, rateLimiter::skipped);
    metrics
        .upstreams()
        .registerSignals(
            () -> upstreams.announcedLeaving().size(), backoffs::activeCount, backoffs::skipped);
  }

  /** Applies the signals in all answers and has the mesh announce changes immediately. */
  void handleSignals(PooledUpstreamCaller caller, SignalReader reader, BoxMesh mesh) {
    caller.onResponse(
        (upstream, head) -> {
          UpstreamSignals signals =
              reader.read(head.request().uri(), head.status(), head.headers());
          limits.onAnswer(upstream, head.sentAtNanos(), signals.limit());
          backoffs.onAnswer(upstream, signals.backoff());
          applyLeavingSignal(upstream, signals.leaving());
          if (head.closesConnection()) {
            upstreams.recordConnectionClose(upstream);
          }
        });
    limits.onChange(mesh::announceNow);
    upstreams.onLeavingAnnounced(mesh::announceNow);
    backoffs.onBackoffStarted(caller::backOff);
  }

  private void applyLeavingSignal(UpstreamRecord upstream, LeavingAnnouncement signal) {
    switch (signal.kind()) {
      case LEAVES -> upstreams.recordLeavingAnnouncement(upstream);
      case UNREADABLE -> unreadableLeavingSignals.report(upstream, signal.text());
      case NOTHING -> {}
      default -> throw new IllegalStateException("Unknown leaving signal: " + signal.kind());
    }
  }

  /** Returns the limiter for upstreams that requested a backoff. */
  SendLimiter backoffs() {
    return backoffs;
  }

  /** Creates the limiter that enforces the rate limits announced by upstreams. */
  UpstreamRateLimiter rateLimit(BoxMesh mesh) {
    return new UpstreamRateLimiter(
        clock,
        limits,
        mesh::rank,
        name -> services.apply(name).flatMap(ServiceDefinition::batchLimits).isPresent());
  }

  /**
   * Creates the limiter for upstreams that are cold. Calls for stage work are exempt: they are sent
   * one at a time, below the limit of any cold upstream.
   *
   * @param boxCount number of known boxes including this one
   */
  SendLimiter coldStart(IntSupplier boxCount) {
    ColdStartLimiter limiter =
        new ColdStartLimiter(
            clock,
            new Random(),
            boxCount,
            service -> services.apply(service).flatMap(ServiceDefinition::coldStart));
    upstreams.onCold(limiter::onColdAnnounced);
    upstreams.onRestored(zones -> limiter.onRestored(upstreams.inZones(zones)));
    upstreams.onRetired(limiter::remove);
    return limiter;
  }
}
