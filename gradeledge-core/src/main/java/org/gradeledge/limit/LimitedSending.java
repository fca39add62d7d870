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
public final class LimitedSending implements SendingRule {

  /** Who else is there is looked at again as often as boxes tell each other. */
  private static final Duration LOOK_AGAIN = Duration.ofMillis(200);

  /** What this box may send to one start that has a limit. */
  private static final class Part {

    private Optional<LimitShare> share = Optional.empty();
    private Optional<TokenBucket> bucket = Optional.empty();
    private double limit = -1;
    private long lookedNanos;

    boolean isOf(double limitNow, long nowNanos) {
      return limit == limitNow && nowNanos - lookedNanos < LOOK_AGAIN.toNanos();
    }

    void set(double limitNow, Optional<LimitShare> shareNow, long nowNanos) {
      limit = limitNow;
      lookedNanos = nowNanos;
      share = shareNow;
      bucket = bucket.or(() -> share.map(own -> new TokenBucket(own.firstLevel(), nowNanos)));
    }

    /** Returns the bucket, filled until now, if there is a share; without one it does not fill. */
    Optional<TokenBucket> filled(long nowNanos) {
      bucket.ifPresent(held -> fill(held, nowNanos));
      return share.flatMap(own -> bucket);
    }

    private void fill(TokenBucket held, long nowNanos) {
      share.ifPresentOrElse(
          own -> held.fill(own.perSecond(), own.depth(), nowNanos), () -> held.rest(nowNanos));
    }
  }

  private final MonotonicClock clock;
  private final UpstreamLimits limits;
  private final Function<String, Optional<BoxRank>> rank;
  private final Predicate<String> oneBoxSends;
  private final Map<String, Part> byStart = new HashMap<>();
  private long heldOff;

  /**
   * Creates it.
   *
   * @param rank where this box stands for a start of an upstream, empty while it cannot know
   * @param oneBoxSends whether one box sends all requests of a service, so that whoever sends has
   *     the whole limit
   */
  public LimitedSending(
      MonotonicClock clock,
      UpstreamLimits limits,
      Function<String, Optional<BoxRank>> rank,
      Predicate<String> oneBoxSends) {
    this.clock = clock;
    this.limits = limits;
    this.rank = rank;
    this.oneBoxSends = oneBoxSends;
  }

  @Override
  public boolean admits(UpstreamRecord upstream) {
    Optional<Part> part = part(upstream);
    boolean admitted =
        part.isEmpty() || part.get().filled(clock.nanos()).map(TokenBucket::hasToken).orElse(false);
    heldOff += admitted ? 0 : 1;
    return admitted;
  }

  @Override
  public void sent(UpstreamRecord upstream) {
    part(upstream).flatMap(part -> part.filled(clock.nanos())).ifPresent(TokenBucket::take);
  }

  @Override
  public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
    return part(upstream)
        .map(
            part ->
                part.filled(clock.nanos())
                    .map(bucket -> bucket.millisUntilToken(sentBefore))
                    .orElse(Double.POSITIVE_INFINITY))
        .orElse(0.0);
  }

  @Override
  public double perSecond(UpstreamRecord upstream) {
    return part(upstream)
        .map(part -> part.share.map(LimitShare::perSecond).orElse(0.0))
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** Returns how often an upstream was passed over so far, as nothing more may be sent there. */
  public long heldOff() {
    return heldOff;
  }

  private Optional<Part> part(UpstreamRecord upstream) {
    String start = upstream.incarnationId();
    OptionalDouble limit = limits.limitOf(start);
    if (limit.isEmpty()) {
      byStart.remove(start);
      return Optional.empty();
    }
    if (!byStart.containsKey(start)) {
      byStart.keySet().removeIf(other -> limits.limitOf(other).isEmpty());
    }
    Part part = byStart.computeIfAbsent(start, unknown -> new Part());
    long now = clock.nanos();
    if (!part.isOf(limit.getAsDouble(), now)) {
      part.filled(now);
      part.set(limit.getAsDouble(), share(upstream, limit.getAsDouble()), now);
    }
    return Optional.of(part);
  }

  private Optional<LimitShare> share(UpstreamRecord upstream, double limit) {
    return oneBoxSends.test(upstream.service())
        ? Optional.of(LimitShare.alone(limit))
        : rank.apply(upstream.incarnationId()).flatMap(box -> LimitShare.of(limit, box));
  }
}
