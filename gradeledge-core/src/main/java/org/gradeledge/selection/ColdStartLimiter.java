package org.gradeledge.selection;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.gradeledge.deployment.ColdStart;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.limit.TokenBucket;
import org.gradeledge.time.MonotonicClock;

/**
 * Keeps boxes from overrunning an upstream that is cold. It is the least loaded of all, so that
 * each box would choose it at once; instead each takes an even share of what the upstream bears,
 * without asking anybody: a token bucket that holds one request and starts at a random level, so
 * that the boxes' first requests are spread over the time that a share takes.
 *
 * <p>A box counts as many others as it has ever heard, so that a part that is cut off does not take
 * the whole for itself, and sends nothing to a cold upstream before it has had the time to hear
 * them. Confined to the event loop.
 *
 * @since 0.3
 */
public final class ColdStartLimiter implements SendLimiter {

  /**
   * Part of what a cold upstream bears that the boxes take together. Requests of many boxes that do
   * not know of each other come as in a Poisson process, and two halves that do not hear each other
   * take twice as much: with a mean of 3.4 in a second 16 or more, which a limit of 6.7 a second
   * with the usual slack refuses, come once in a million; with twice that mean once in 600.
   */
  private static final double USED_FRACTION = 0.25;

  /** By then a box that has started hears the others. */
  private static final Duration PEER_DISCOVERY_TIME = Duration.ofSeconds(3);

  private static final double MAX_TOKENS = 1;
  private static final double NANOS_PER_MILLI = 1e6;

  /** What one box may still send to one cold upstream. */
  private static final class Allowance {

    private final TokenBucket bucket;
    private long endNanos;

    Allowance(long nowNanos, double level) {
      this.bucket = new TokenBucket(level, nowNanos);
      this.endNanos = nowNanos;
    }
  }

  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final IntSupplier boxCount;
  private final Function<String, Optional<ColdStart>> coldStartLimits;
  private final Map<String, Allowance> allowances = new HashMap<>();
  private final long createdNanos;
  private int maxBoxCount = 1;

  /**
   * Creates it without any cold upstream.
   *
   * @param boxes how many boxes are heard, this one included
   * @param limits what an upstream of a service bears
   */
  public ColdStartLimiter(
      MonotonicClock clock,
      RandomGenerator random,
      IntSupplier boxes,
      Function<String, Optional<ColdStart>> limits) {
    this.clock = clock;
    this.random = random;
    this.boxCount = boxes;
    this.coldStartLimits = limits;
    this.createdNanos = clock.nanos();
  }

  /** Notes that an upstream said for how long it is cold. */
  public void onColdAnnounced(UpstreamRecord upstream) {
    extend(upstream.incarnationId(), Duration.ofMillis(upstream.coldMillis()));
  }

  /** Takes upstreams that were out of use as if they had just started. */
  public void onRestored(Collection<UpstreamRecord> upstreams) {
    upstreams.forEach(
        upstream ->
            coldStartLimits
                .apply(upstream.service())
                .ifPresent(limit -> extend(upstream.incarnationId(), limit.duration())));
  }

  /** Forgets an upstream that is gone. */
  public void remove(UpstreamRecord upstream) {
    allowances.remove(upstream.incarnationId());
  }

  private void extend(String start, Duration lasts) {
    long now = clock.nanos();
    Allowance allowance =
        allowances.computeIfAbsent(start, key -> new Allowance(now, random.nextDouble()));
    if (now + lasts.toNanos() - allowance.endNanos > 0) {
      allowance.endNanos = now + lasts.toNanos();
    }
  }

  @Override
  public boolean admits(UpstreamRecord upstream) {
    return refilledBucket(upstream)
        .map(bucket -> bucket.hasToken() && peerDiscoveryMillisLeft() <= 0)
        .orElse(true);
  }

  @Override
  public void recordSent(UpstreamRecord upstream) {
    Optional.ofNullable(allowances.get(upstream.incarnationId()))
        .ifPresent(allowance -> allowance.bucket.take());
  }

  @Override
  public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
    return refilledBucket(upstream)
        .map(bucket -> Math.max(bucket.millisUntilToken(sentBefore), peerDiscoveryMillisLeft()))
        .orElse(0.0);
  }

  @Override
  public double requestsPerSecond(UpstreamRecord upstream) {
    return refilledBucket(upstream)
        .flatMap(bucket -> coldStartLimits.apply(upstream.service()))
        .map(this::shareOfLimit)
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** Returns how much longer this box has to listen who else is there. */
  private double peerDiscoveryMillisLeft() {
    return (PEER_DISCOVERY_TIME.toNanos() - (clock.nanos() - createdNanos)) / NANOS_PER_MILLI;
  }

  /** Returns what this box may still send to an upstream, empty where that is not cold. */
  private Optional<TokenBucket> refilledBucket(UpstreamRecord upstream) {
    Allowance allowance = allowances.get(upstream.incarnationId());
    if (allowance == null) {
      return Optional.empty();
    }
    long now = clock.nanos();
    Optional<ColdStart> limit = coldStartLimits.apply(upstream.service());
    if (limit.isEmpty() || now - allowance.endNanos >= 0) {
      allowances.remove(upstream.incarnationId());
      return Optional.empty();
    }
    allowance.bucket.refill(shareOfLimit(limit.get()), MAX_TOKENS, now);
    return Optional.of(allowance.bucket);
  }

  private double shareOfLimit(ColdStart limit) {
    maxBoxCount = Math.max(maxBoxCount, boxCount.getAsInt());
    return limit.requestsPerSecond() * USED_FRACTION / maxBoxCount;
  }
}
