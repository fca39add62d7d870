package org.gradeledge.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gradeledge.discovery.UnreadableSignalLog;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLog;
import org.gradeledge.time.MonotonicClock;

/**
 * Keeps this box away from starts of upstreams that have turned a request of it away and asked for
 * a time without any. Each such answer opens a time of its own: a later, shorter one does not end
 * an earlier one, and neither does an answer to work that was done, nor an entry in the list that
 * goes and comes back.
 *
 * <p>When a time is over, the first requests go there one after the other, so that what has waited
 * meanwhile does not come all at once. Confined to the event loop.
 *
 * @since 0.5
 */
public final class UpstreamBackoffs implements SendLimiter {

  /** The longest time that is heeded; an upstream that wants more says so again then. */
  static final Duration MAX_BACKOFF = Duration.ofDays(1);

  /** After a backoff this long ... */
  static final Duration RAMP_UP = Duration.ofSeconds(1);

  /** ... no more requests a second than this go to an upstream, one at a time. */
  static final double RAMP_UP_REQUESTS_PER_SECOND = 10;

  private static final double RAMP_UP_BURST = 1;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double MILLIS_PER_SECOND = 1e3;

  /** What one start asked for. */
  private static final class Backoff {

    private final TokenBucket rampUpBucket;
    private long endNanos;
    private long skipped;
    private boolean endLogged;

    Backoff(long nowNanos, long endNanos) {
      this.rampUpBucket = new TokenBucket(RAMP_UP_BURST, nowNanos);
      this.endNanos = endNanos;
    }

    boolean isActive(long nowNanos) {
      return nowNanos - endNanos < 0;
    }

    boolean isRampUpOver(long nowNanos) {
      return nowNanos - endNanos >= RAMP_UP.toNanos();
    }

    /** Returns the bucket of the return, filled until now. */
    TokenBucket refilled(long nowNanos) {
      rampUpBucket.refill(RAMP_UP_REQUESTS_PER_SECOND, RAMP_UP_BURST, nowNanos);
      return rampUpBucket;
    }

    double millisLeft(long nowNanos) {
      return (endNanos - nowNanos) / NANOS_PER_MILLI;
    }
  }

  private final MonotonicClock clock;
  private final EventLog events;
  private final UnreadableSignalLog unreadableSignals;
  private final Map<String, Backoff> byIncarnation = new HashMap<>();
  private Consumer<UpstreamRecord> startListener = upstream -> {};
  private long skipped;

  /** Creates it; no upstream backs off. */
  public UpstreamBackoffs(MonotonicClock clock, EventLog events) {
    this.clock = clock;
    this.events = events;
    this.unreadableSignals = new UnreadableSignalLog(events, "upstream-backoff-unreadable");
  }

  /** Runs an action whenever an upstream wants nothing from now on. */
  public void onBackoffStarted(Consumer<UpstreamRecord> action) {
    startListener = action;
  }

  /** Takes in what an answer says. */
  public void onAnswer(UpstreamRecord upstream, BackoffAnnouncement statement) {
    switch (statement.kind()) {
      case REQUESTED -> startOrExtend(upstream, statement.duration());
      case UNREADABLE -> unreadableSignals.report(upstream, statement.text());
      case NOTHING -> {}
      default -> throw new IllegalStateException("unknown statement " + statement.kind());
    }
  }

  private void startOrExtend(UpstreamRecord upstream, Duration requested) {
    Duration duration = requested.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : requested;
    if (duration.isZero()) {
      return;
    }
    long now = clock.nanos();
    long end = now + duration.toNanos();
    Optional<Backoff> before = findActive(upstream, now);
    if (before.isPresent()) {
      before.get().endNanos = later(before.get().endNanos, end);
      return;
    }
    byIncarnation.values().removeIf(other -> other.isRampUpOver(now));
    byIncarnation.put(upstream.incarnationId(), new Backoff(now, end));
    events
        .change("upstream-backoff")
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("requested-ms", requested.toMillis())
        .with("ms", duration.toMillis())
        .write();
    startListener.accept(upstream);
  }

  private static long later(long first, long second) {
    return second - first > 0 ? second : first;
  }

  @Override
  public boolean admits(UpstreamRecord upstream) {
    long now = clock.nanos();
    return find(upstream, now).map(backoff -> admits(backoff, now)).orElse(true);
  }

  private boolean admits(Backoff backoff, long now) {
    boolean admitted = !backoff.isActive(now) && backoff.refilled(now).hasToken();
    backoff.skipped += admitted ? 0 : 1;
    skipped += admitted ? 0 : 1;
    return admitted;
  }

  @Override
  public void recordSent(UpstreamRecord upstream) {
    long now = clock.nanos();
    find(upstream, now).ifPresent(backoff -> backoff.refilled(now).take());
  }

  @Override
  public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
    long now = clock.nanos();
    return find(upstream, now)
        .map(backoff -> millisUntilAdmitted(backoff, sentBefore, now))
        .orElse(0.0);
  }

  private static double millisUntilAdmitted(Backoff backoff, double sentBefore, long now) {
    return backoff.isActive(now)
        ? backoff.millisLeft(now) + sentBefore / RAMP_UP_REQUESTS_PER_SECOND * MILLIS_PER_SECOND
        : backoff.refilled(now).millisUntilToken(sentBefore);
  }

  /** Nothing at all while an upstream backs off. */
  @Override
  public double requestsPerSecond(UpstreamRecord upstream) {
    long now = clock.nanos();
    return find(upstream, now)
        .map(backoff -> backoff.isActive(now) ? 0 : RAMP_UP_REQUESTS_PER_SECOND)
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** Returns how many upstreams want nothing from this box now. */
  public long activeCount() {
    long now = clock.nanos();
    return byIncarnation.values().stream().filter(backoff -> backoff.isActive(now)).count();
  }

  /** Returns how many starts are kept, those whose time is over included. */
  int trackedCount() {
    return byIncarnation.size();
  }

  /** Returns how often an upstream was passed over so far, as it wants nothing for a while. */
  public long skipped() {
    return skipped;
  }

  private Optional<Backoff> findActive(UpstreamRecord upstream, long now) {
    return Optional.ofNullable(byIncarnation.get(upstream.incarnationId()))
        .filter(each -> each.isActive(now));
  }

  /** Returns the backoff of an upstream, also while its first requests after that go out. */
  private Optional<Backoff> find(UpstreamRecord upstream, long now) {
    Backoff backoff = byIncarnation.get(upstream.incarnationId());
    if (backoff == null) {
      return Optional.empty();
    }
    if (!backoff.isActive(now) && !backoff.endLogged) {
      backoff.endLogged = true;
      logEnd(upstream, backoff);
    }
    if (backoff.isRampUpOver(now)) {
      byIncarnation.remove(upstream.incarnationId());
      return Optional.empty();
    }
    return Optional.of(backoff);
  }

  private void logEnd(UpstreamRecord upstream, Backoff backoff) {
    events
        .change("upstream-backoff-ended")
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("held-off", backoff.skipped)
        .write();
  }
}
