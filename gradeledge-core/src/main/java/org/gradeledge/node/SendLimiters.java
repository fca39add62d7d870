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
 * Puts together what tells which upstreams take one more request of this box now, and hands on what
 * the heads of their answers say.
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

  /** Returns the limits that are known. */
  UpstreamLimits limits() {
    return limits;
  }

  /** Shows what upstreams say of themselves. */
  void registerMetrics(RelayMetrics metrics, UpstreamRateLimiter limited) {
    metrics.registerLimits(limits::limitedCount, limited::skipped);
    metrics.registerSignals(
        () -> upstreams.announcedLeaving().size(), backoffs::activeCount, backoffs::skipped);
  }

  /** Reads what all answers say of their upstreams, and has the mesh tell what is new at once. */
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

  private void applyLeavingSignal(UpstreamRecord upstream, LeavingAnnouncement statement) {
    switch (statement.kind()) {
      case LEAVES -> upstreams.recordLeavingAnnouncement(upstream);
      case UNREADABLE -> unreadableLeavingSignals.report(upstream, statement.text());
      case NOTHING -> {}
      default -> throw new IllegalStateException("unknown statement " + statement.kind());
    }
  }

  /** Returns the rule of upstreams that want nothing from this box for a while. */
  SendLimiter backoffs() {
    return backoffs;
  }

  /** Returns the rule of limits that upstreams name, for all requests. */
  UpstreamRateLimiter rateLimit(BoxMesh mesh) {
    return new UpstreamRateLimiter(
        clock,
        limits,
        mesh::rank,
        name -> services.apply(name).flatMap(ServiceDefinition::batchLimits).isPresent());
  }

  /**
   * Returns the rule of upstreams that are cold. Calls for stage work need none: one at a time,
   * they are fewer than any cold upstream bears.
   *
   * @param boxes how many boxes are heard, this one included
   */
  SendLimiter coldStart(IntSupplier boxes) {
    ColdStartLimiter cold =
        new ColdStartLimiter(
            clock,
            new Random(),
            boxes,
            service -> services.apply(service).flatMap(ServiceDefinition::coldStart));
    upstreams.onCold(cold::onColdAnnounced);
    upstreams.onRestored(zones -> cold.onRestored(upstreams.inZones(zones)));
    upstreams.onRetired(cold::remove);
    return cold;
  }
}
