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
 * Limits the requests that boxes send to cold upstreams. A cold upstream has the lowest load, so
 * all boxes would select it at once; each box instead uses an equal share of its limit, without
 * coordination: a token bucket of one request with a random initial level, which spreads the first
 * requests of the boxes over time.
 *
 * <p>The share is based on the largest number of boxes seen so far, so that a partitioned box does
 * not use more than its share. A box that has just started sends nothing to a cold upstream until
 * it has had time to discover its peers. Confined to the event loop.
 *
 * @since 0.3
 */
public final class ColdStartLimiter implements SendLimiter {

  /**
   * Fraction of the limit that all boxes together use; leaves a reserve for uncoordinated requests
   * of many boxes and for network partitions. Requests of many boxes arrive as in a Poisson
   * process: with a mean of 3.4 a second, the 16 that a limit of 6.7 a second refuses arrive once
   * in a million seconds; with twice that mean, as in two halves of a partition, once in 600.
   */
  private static final double USED_FRACTION = 0.25;

  /** Time within which a box that starts discovers its peers. */
  private static final Duration PEER_DISCOVERY_TIME = Duration.ofSeconds(3);

  private static final double MAX_TOKENS = 1;
  private static final double NANOS_PER_MILLI = 1e6;

  /** Token bucket of this box for one cold incarnation. */
  private static final class Allowance {

    private final TokenBucket bucket;
    private long endNanos;

    Allowance(long nowNanos, double initialTokens) {
      this.bucket = new TokenBucket(initialTokens, nowNanos);
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
   * Creates an instance without cold upstreams.
   *
   * @param boxCount returns the number of live boxes, including this one
   * @param coldStartLimits returns the limit of cold upstreams of a service
   */
  public ColdStartLimiter(
      MonotonicClock clock,
      RandomGenerator random,
      IntSupplier boxCount,
      Function<String, Optional<ColdStart>> coldStartLimits) {
    this.clock = clock;
    this.random = random;
    this.boxCount = boxCount;
    this.coldStartLimits = coldStartLimits;
    this.createdNanos = clock.nanos();
  }

  /** Limits an upstream for the time for which it announced to be cold. */
  public void onColdAnnounced(UpstreamRecord upstream) {
    extend(upstream.incarnationId(), Duration.ofMillis(upstream.coldMillis()));
  }

  /** Limits upstreams that return to service as after a start. */
  public void onRestored(Collection<UpstreamRecord> upstreams) {
    upstreams.forEach(
        upstream ->
            coldStartLimits
                .apply(upstream.service())
                .ifPresent(limit -> extend(upstream.incarnationId(), limit.duration())));
  }

  /** Removes an upstream that is gone. */
  public void remove(UpstreamRecord upstream) {
    allowances.remove(upstream.incarnationId());
  }

  private void extend(String incarnationId, Duration duration) {
    long now = clock.nanos();
    Allowance allowance =
        allowances.computeIfAbsent(incarnationId, key -> new Allowance(now, random.nextDouble()));
    if (now + duration.toNanos() - allowance.endNanos > 0) {
      allowance.endNanos = now + duration.toNanos();
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

  /** Returns the time left for the discovery of peers. */
  private double peerDiscoveryMillisLeft() {
    return (PEER_DISCOVERY_TIME.toNanos() - (clock.nanos() - createdNanos)) / NANOS_PER_MILLI;
  }

  /** Returns the refilled bucket of an upstream, empty if it is not cold. */
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
