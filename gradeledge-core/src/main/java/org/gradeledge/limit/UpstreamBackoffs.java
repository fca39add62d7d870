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
public final class UpstreamBackoffs implements SendingRule {

  /** The longest time that is heeded; an upstream that wants more says so again then. */
  static final Duration LONGEST = Duration.ofDays(1);

  /** After a backoff this long ... */
  static final Duration RETURN = Duration.ofSeconds(1);

  /** ... no more requests a second than this go to an upstream, one at a time. */
  static final double RETURN_PER_SECOND = 10;

  private static final double ONE = 1;
  private static final double NANOS_OF_MILLI = 1e6;
  private static final double MILLIS_OF_SECOND = 1e3;

  /** What one start asked for. */
  private static final class Backoff {

    private final TokenBucket returning;
    private long endNanos;
    private long heldOff;
    private boolean ended;

    Backoff(long nowNanos, long endNanos) {
      this.returning = new TokenBucket(ONE, nowNanos);
      this.endNanos = endNanos;
    }

    boolean lasts(long nowNanos) {
      return nowNanos - endNanos < 0;
    }

    boolean isOver(long nowNanos) {
      return nowNanos - endNanos >= RETURN.toNanos();
    }

    /** Returns the bucket of the return, filled until now. */
    TokenBucket filled(long nowNanos) {
      returning.fill(RETURN_PER_SECOND, ONE, nowNanos);
      return returning;
    }

    double millisLeft(long nowNanos) {
      return (endNanos - nowNanos) / NANOS_OF_MILLI;
    }
  }

  private final MonotonicClock clock;
  private final EventLog events;
  private final UnreadableSignalLog unreadable;
  private final Map<String, Backoff> byStart = new HashMap<>();
  private Consumer<UpstreamRecord> onBegin = upstream -> {};
  private long heldOff;

  /** Creates it; no upstream backs off. */
  public UpstreamBackoffs(MonotonicClock clock, EventLog events) {
    this.clock = clock;
    this.events = events;
    this.unreadable = new UnreadableSignalLog(events, "upstream-backoff-unreadable");
  }

  /** Runs an action whenever an upstream wants nothing from now on. */
  public void onBegin(Consumer<UpstreamRecord> action) {
    onBegin = action;
  }

  /** Takes in what an answer says. */
  public void answered(UpstreamRecord upstream, BackoffStatement statement) {
    switch (statement.kind()) {
      case REQUESTED -> requested(upstream, statement.duration());
      case UNREADABLE -> unreadable.report(upstream, statement.text());
      case NOTHING -> {}
      default -> throw new IllegalStateException("unknown statement " + statement.kind());
    }
  }

  private void requested(UpstreamRecord upstream, Duration requested) {
    Duration duration = requested.compareTo(LONGEST) > 0 ? LONGEST : requested;
    if (duration.isZero()) {
      return;
    }
    long now = clock.nanos();
    long end = now + duration.toNanos();
    Optional<Backoff> before = lasting(upstream, now);
    if (before.isPresent()) {
      before.get().endNanos = later(before.get().endNanos, end);
      return;
    }
    byStart.values().removeIf(other -> other.isOver(now));
    byStart.put(upstream.incarnationId(), new Backoff(now, end));
    events
        .change("upstream-backoff")
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("requested-ms", requested.toMillis())
        .with("ms", duration.toMillis())
        .write();
    onBegin.accept(upstream);
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
    boolean admitted = !backoff.lasts(now) && backoff.filled(now).hasToken();
    backoff.heldOff += admitted ? 0 : 1;
    heldOff += admitted ? 0 : 1;
    return admitted;
  }

  @Override
  public void sent(UpstreamRecord upstream) {
    long now = clock.nanos();
    find(upstream, now).ifPresent(backoff -> backoff.filled(now).take());
  }

  @Override
  public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
    long now = clock.nanos();
    return find(upstream, now)
        .map(backoff -> millisUntilAdmitted(backoff, sentBefore, now))
        .orElse(0.0);
  }

  private static double millisUntilAdmitted(Backoff backoff, double sentBefore, long now) {
    return backoff.lasts(now)
        ? backoff.millisLeft(now) + sentBefore / RETURN_PER_SECOND * MILLIS_OF_SECOND
        : backoff.filled(now).millisUntilToken(sentBefore);
  }

  /** Nothing at all while an upstream backs off. */
  @Override
  public double perSecond(UpstreamRecord upstream) {
    long now = clock.nanos();
    return find(upstream, now)
        .map(backoff -> backoff.lasts(now) ? 0 : RETURN_PER_SECOND)
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** Returns how many upstreams want nothing from this box now. */
  public long count() {
    long now = clock.nanos();
    return byStart.values().stream().filter(backoff -> backoff.lasts(now)).count();
  }

  /** Returns how many starts are kept, those whose time is over included. */
  int kept() {
    return byStart.size();
  }

  /** Returns how often an upstream was passed over so far, as it wants nothing for a while. */
  public long heldOff() {
    return heldOff;
  }

  private Optional<Backoff> lasting(UpstreamRecord upstream, long now) {
    return Optional.ofNullable(byStart.get(upstream.incarnationId()))
        .filter(each -> each.lasts(now));
  }

  /** Returns the backoff of an upstream, also while its first requests after that go out. */
  private Optional<Backoff> find(UpstreamRecord upstream, long now) {
    Backoff backoff = byStart.get(upstream.incarnationId());
    if (backoff == null) {
      return Optional.empty();
    }
    if (!backoff.lasts(now) && !backoff.ended) {
      backoff.ended = true;
      tellEnd(upstream, backoff);
    }
    if (backoff.isOver(now)) {
      byStart.remove(upstream.incarnationId());
      return Optional.empty();
    }
    return Optional.of(backoff);
  }

  private void tellEnd(UpstreamRecord upstream, Backoff backoff) {
    events
        .change("upstream-backoff-ended")
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("held-off", backoff.heldOff)
        .write();
  }
}
