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
 * Keeps this box to its part of the limits that upstreams name. Who has a part follows from what
 * all boxes know, without asking anybody. Confined to the event loop.
 *
 * @since 0.4
 */
public final class UpstreamRateLimiter implements SendLimiter {

  /** Who else is there is looked at again as often as boxes tell each other. */
  private static final Duration REFRESH_INTERVAL = Duration.ofMillis(200);

  /** What this box may send to one start that has a limit. */
  private static final class Allocation {

    private Optional<LimitShare> share = Optional.empty();
    private Optional<TokenBucket> bucket = Optional.empty();
    private double limit = -1;
    private long refreshedNanos;

    boolean isCurrent(double limitNow, long nowNanos) {
      return limit == limitNow && nowNanos - refreshedNanos < REFRESH_INTERVAL.toNanos();
    }

    void update(double limitNow, Optional<LimitShare> shareNow, long nowNanos) {
      limit = limitNow;
      refreshedNanos = nowNanos;
      share = shareNow;
      bucket = bucket.or(() -> share.map(own -> new TokenBucket(own.initialTokens(), nowNanos)));
    }

    /** Returns the bucket, filled until now, if there is a share; without one it does not fill. */
    Optional<TokenBucket> refilled(long nowNanos) {
      bucket.ifPresent(held -> refill(held, nowNanos));
      return share.flatMap(own -> bucket);
    }

    private void refill(TokenBucket held, long nowNanos) {
      share.ifPresentOrElse(
          own -> held.refill(own.requestsPerSecond(), own.burst(), nowNanos),
          () -> held.skipRefill(nowNanos));
    }
  }

  private final MonotonicClock clock;
  private final UpstreamLimits limits;
  private final Function<String, Optional<BoxRank>> rank;
  private final Predicate<String> hasSingleSender;
  private final Map<String, Allocation> allocations = new HashMap<>();
  private long skipped;

  /**
   * Creates it.
   *
   * @param rank where this box stands for a start of an upstream, empty while it cannot know
   * @param oneBoxSends whether one box sends all requests of a service, so that whoever sends has
   *     the whole limit
   */
  public UpstreamRateLimiter(
      MonotonicClock clock,
      UpstreamLimits limits,
      Function<String, Optional<BoxRank>> rank,
      Predicate<String> oneBoxSends) {
    this.clock = clock;
    this.limits = limits;
    this.rank = rank;
    this.hasSingleSender = oneBoxSends;
  }

  @Override
  public boolean admits(UpstreamRecord upstream) {
    Optional<Allocation> part = allocation(upstream);
    boolean admitted =
        part.isEmpty()
            || part.get().refilled(clock.nanos()).map(TokenBucket::hasToken).orElse(false);
    skipped += admitted ? 0 : 1;
    return admitted;
  }

  @Override
  public void recordSent(UpstreamRecord upstream) {
    allocation(upstream).flatMap(part -> part.refilled(clock.nanos())).ifPresent(TokenBucket::take);
  }

  @Override
  public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
    return allocation(upstream)
        .map(
            part ->
                part.refilled(clock.nanos())
                    .map(bucket -> bucket.millisUntilToken(sentBefore))
                    .orElse(Double.POSITIVE_INFINITY))
        .orElse(0.0);
  }

  @Override
  public double requestsPerSecond(UpstreamRecord upstream) {
    return allocation(upstream)
        .map(part -> part.share.map(LimitShare::requestsPerSecond).orElse(0.0))
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** Returns how often an upstream was passed over so far, as nothing more may be sent there. */
  public long skipped() {
    return skipped;
  }

  private Optional<Allocation> allocation(UpstreamRecord upstream) {
    String start = upstream.incarnationId();
    OptionalDouble limit = limits.limitOf(start);
    if (limit.isEmpty()) {
      allocations.remove(start);
      return Optional.empty();
    }
    if (!allocations.containsKey(start)) {
      allocations.keySet().removeIf(other -> limits.limitOf(other).isEmpty());
    }
    Allocation part = allocations.computeIfAbsent(start, unknown -> new Allocation());
    long now = clock.nanos();
    if (!part.isCurrent(limit.getAsDouble(), now)) {
      part.refilled(now);
      part.update(limit.getAsDouble(), share(upstream, limit.getAsDouble()), now);
    }
    return Optional.of(part);
  }

  private Optional<LimitShare> share(UpstreamRecord upstream, double limit) {
    return hasSingleSender.test(upstream.service())
        ? Optional.of(LimitShare.forSingleSender(limit))
        : rank.apply(upstream.incarnationId()).flatMap(box -> LimitShare.of(limit, box));
  }
}
