package org.gradeledge.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.function.Predicate;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.time.MonotonicClock;

/**
 * Keeps this box within its share of the rate limits that upstreams announce. Each box derives its
 * share from the membership, without coordination. Confined to the event loop.
 *
 * @since 0.4
 */
public final class UpstreamRateLimiter implements SendLimiter {

  /** Interval at which shares are recomputed from the membership. */
  private static final Duration REFRESH_INTERVAL = Duration.ofMillis(200);

  /** Share and token bucket of this box for one incarnation. */
  private static final class Allocation {

    private Optional<LimitShare> share = Optional.empty();
    private Optional<TokenBucket> bucket = Optional.empty();
    private double limit = -1;
    private long refreshedNanos;

    boolean isCurrent(double newLimit, long nowNanos) {
      return limit == newLimit && nowNanos - refreshedNanos < REFRESH_INTERVAL.toNanos();
    }

    void update(double newLimit, Optional<LimitShare> newShare, long nowNanos) {
      limit = newLimit;
      refreshedNanos = nowNanos;
      share = newShare;
      bucket = bucket.or(() -> share.map(own -> new TokenBucket(own.initialTokens(), nowNanos)));
    }

    /** Returns the refilled bucket, empty if this box has no share. */
    Optional<TokenBucket> refilled(long nowNanos) {
      bucket.ifPresent(ownBucket -> refill(ownBucket, nowNanos));
      return share.flatMap(own -> bucket);
    }

    private void refill(TokenBucket ownBucket, long nowNanos) {
      share.ifPresentOrElse(
          own -> ownBucket.refill(own.requestsPerSecond(), own.burst(), nowNanos),
          () -> ownBucket.skipRefill(nowNanos));
    }
  }

  private final MonotonicClock clock;
  private final UpstreamLimits limits;
  private final Function<String, Optional<BoxRank>> rank;
  private final Predicate<String> hasSingleSender;
  private final Map<String, Allocation> allocations = new HashMap<>();
  private long skipped;

  /**
   * Creates a rate limiter.
   *
   * @param rank returns the rank of this box for an incarnation, empty if it is unknown
   * @param hasSingleSender whether one box sends all requests of a service and may use the whole
   *     limit
   */
  public UpstreamRateLimiter(
      MonotonicClock clock,
      UpstreamLimits limits,
      Function<String, Optional<BoxRank>> rank,
      Predicate<String> hasSingleSender) {
    this.clock = clock;
    this.limits = limits;
    this.rank = rank;
    this.hasSingleSender = hasSingleSender;
  }

  @Override
  public boolean admits(UpstreamRecord upstream) {
    Optional<Allocation> allocation = allocation(upstream);
    boolean admitted =
        allocation.isEmpty()
            || allocation.get().refilled(clock.nanos()).map(TokenBucket::hasToken).orElse(false);
    skipped += admitted ? 0 : 1;
    return admitted;
  }

  @Override
  public void recordSent(UpstreamRecord upstream) {
    allocation(upstream)
        .flatMap(allocation -> allocation.refilled(clock.nanos()))
        .ifPresent(TokenBucket::take);
  }

  @Override
  public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
    return allocation(upstream)
        .map(
            allocation ->
                allocation
                    .refilled(clock.nanos())
                    .map(bucket -> bucket.millisUntilToken(sentBefore))
                    .orElse(Double.POSITIVE_INFINITY))
        .orElse(0.0);
  }

  @Override
  public double requestsPerSecond(UpstreamRecord upstream) {
    return allocation(upstream)
        .map(allocation -> allocation.share.map(LimitShare::requestsPerSecond).orElse(0.0))
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** Returns how many times an upstream was skipped because of its limit. */
  public long skipped() {
    return skipped;
  }

  private Optional<Allocation> allocation(UpstreamRecord upstream) {
    String incarnationId = upstream.incarnationId();
    OptionalDouble limit = limits.limitOf(incarnationId);
    if (limit.isEmpty()) {
      allocations.remove(incarnationId);
      return Optional.empty();
    }
    if (!allocations.containsKey(incarnationId)) {
      allocations.keySet().removeIf(other -> limits.limitOf(other).isEmpty());
    }
    Allocation allocation = allocations.computeIfAbsent(incarnationId, key -> new Allocation());
    long now = clock.nanos();
    if (!allocation.isCurrent(limit.getAsDouble(), now)) {
      allocation.refilled(now);
      allocation.update(limit.getAsDouble(), share(upstream, limit.getAsDouble()), now);
    }
    return Optional.of(allocation);
  }

  private Optional<LimitShare> share(UpstreamRecord upstream, double limit) {
    return hasSingleSender.test(upstream.service())
        ? Optional.of(LimitShare.forSingleSender(limit))
        : rank.apply(upstream.incarnationId()).flatMap(box -> LimitShare.of(limit, box));
  }
}
