package org.gradeledge.limit;

import static java.util.stream.Collectors.toSet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;
import org.gradeledge.discovery.UnreadableSignalLog;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLog;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * The rate limits that upstreams announced to this box and to others. A limit applies to one
 * incarnation of an upstream until that incarnation no longer announces it or is gone.
 *
 * <p>Answers may overtake each other: an answer without a limit lifts it only if its request was
 * sent after the limit was last announced. Of conflicting reports from boxes the more recent one
 * applies. Confined to the event loop.
 *
 * @since 0.4
 */
public final class UpstreamLimits {

  /**
   * Time for which a lifted limit is reported to other boxes: 25 heartbeats if they are relayed.
   */
  private static final Duration LIFTED_REPORT_PERIOD = Duration.ofSeconds(10);

  private static final double THOUSAND_SECONDS = 1_000;

  /** Upper bound of a rate; keeps sums of rates finite. */
  private static final double MAX_REQUESTS_PER_SECOND = 1e9;

  /** Smaller changes of a limit are not logged. */
  private static final double MIN_LOGGED_CHANGE_FACTOR = 1.2;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * The last announcement of one incarnation: a limit, or that it was lifted.
   *
   * @param confirmedNanos when it was last confirmed
   * @param firstSeenNanos when it was first received
   */
  private record KnownLimit(long requestsPer1000Seconds, long confirmedNanos, long firstSeenNanos) {

    KnownLimit(long requestsPer1000Seconds, long confirmedNanos) {
      this(requestsPer1000Seconds, confirmedNanos, confirmedNanos);
    }

    KnownLimit confirmedAt(long newConfirmedNanos) {
      return new KnownLimit(requestsPer1000Seconds, newConfirmedNanos, firstSeenNanos);
    }

    boolean isLimit() {
      return requestsPer1000Seconds != LimitReport.LIFTED;
    }

    double requestsPerSecond() {
      return requestsPer1000Seconds / THOUSAND_SECONDS;
    }

    boolean differsNoticeablyFrom(KnownLimit other) {
      double smaller = Math.min(requestsPer1000Seconds, other.requestsPer1000Seconds);
      double larger = Math.max(requestsPer1000Seconds, other.requestsPer1000Seconds);
      return isLimit() != other.isLimit() || larger > smaller * MIN_LOGGED_CHANGE_FACTOR;
    }
  }

  private final MonotonicClock clock;
  private final EventLog events;
  private final Supplier<Collection<UpstreamRecord>> knownUpstreams;
  private final Map<String, KnownLimit> byIncarnation = new HashMap<>();
  private final Map<String, KnownLimit> lastLogged = new HashMap<>();
  private final UnreadableSignalLog unreadableSignals;
  private Runnable changeListener = () -> {};

  /**
   * Creates an instance without limits.
   *
   * @param knownUpstreams all known upstreams; reports on others are ignored
   */
  public UpstreamLimits(
      MonotonicClock clock, EventLog events, Supplier<Collection<UpstreamRecord>> knownUpstreams) {
    this.clock = clock;
    this.events = events;
    this.knownUpstreams = knownUpstreams;
    this.unreadableSignals = new UnreadableSignalLog(events, "upstream-limit-unreadable");
  }

  /** Sets the action that is run when an answer to this box sets a first limit or lifts it. */
  public void onChange(Runnable action) {
    changeListener = action;
  }

  /**
   * Returns the limit of an incarnation in requests per second from all boxes, empty without a
   * limit.
   */
  public OptionalDouble limitOf(String incarnationId) {
    KnownLimit current = byIncarnation.get(incarnationId);
    return current == null || !current.isLimit()
        ? OptionalDouble.empty()
        : OptionalDouble.of(current.requestsPerSecond());
  }

  /** Returns the number of incarnations with a limit. */
  public long limitedCount() {
    return byIncarnation.values().stream().filter(KnownLimit::isLimit).count();
  }

  /**
   * Applies the limit in an answer.
   *
   * @param sentNanos when its request was sent
   */
  public void onAnswer(UpstreamRecord upstream, long sentNanos, LimitAnnouncement announcement) {
    switch (announcement.kind()) {
      case NAMED -> applyLimit(upstream, announcement.requestsPerSecond());
      case NO_LIMIT -> liftLimit(upstream, sentNanos);
      case UNREADABLE -> unreadableSignals.report(upstream, announcement.text());
      case NOTHING -> {}
      default ->
          throw new IllegalStateException("unknown announcement kind " + announcement.kind());
    }
  }

  private void applyLimit(UpstreamRecord upstream, double requestsPerSecond) {
    long rate = Math.round(Math.min(requestsPerSecond, MAX_REQUESTS_PER_SECOND) * THOUSAND_SECONDS);
    boolean isNew = limitOf(upstream.incarnationId()).isEmpty();
    if (put(upstream.incarnationId(), new KnownLimit(rate, clock.nanos()), "answer") && isNew) {
      changeListener.run();
    }
  }

  private void liftLimit(UpstreamRecord upstream, long sentNanos) {
    KnownLimit current = byIncarnation.get(upstream.incarnationId());
    if (current == null || sentNanos - current.confirmedNanos() <= 0) {
      return;
    }
    if (current.isLimit()) {
      put(upstream.incarnationId(), new KnownLimit(LimitReport.LIFTED, sentNanos), "answer");
      changeListener.run();
    } else {
      // Keeps an older report of another box from counting as more recent.
      byIncarnation.put(upstream.incarnationId(), current.confirmedAt(sentNanos));
    }
  }

  /**
   * Merges reports of another box, sent the given number of milliseconds ago; returns whether any
   * of them changed a limit.
   */
  public boolean merge(String box, Collection<LimitReport> reports, long ageMillis) {
    return reports.stream().filter(report -> merge(box, report, ageMillis)).count() > 0;
  }

  /**
   * A report with the same limit changes nothing, not even the age: reports would otherwise appear
   * more recent with each transfer between boxes.
   */
  private boolean merge(String box, LimitReport report, long ageMillis) {
    long confirmedNanos = clock.nanos() - (report.ageMillis() + ageMillis) * NANOS_PER_MILLI;
    KnownLimit reported = new KnownLimit(report.requestsPer1000Seconds(), confirmedNanos);
    KnownLimit current = byIncarnation.get(report.incarnationId());
    boolean isNew =
        current == null
            ? reported.isLimit()
            : current.requestsPer1000Seconds() != reported.requestsPer1000Seconds()
                && reported.confirmedNanos() - current.confirmedNanos() > 0;
    return isNew && put(report.incarnationId(), reported, box);
  }

  private boolean put(String incarnationId, KnownLimit newLimit, String source) {
    Optional<UpstreamRecord> upstream =
        knownUpstreams.get().stream()
            .filter(each -> each.incarnationId().equals(incarnationId))
            .findFirst();
    upstream.ifPresent(
        record -> {
          byIncarnation.put(incarnationId, newLimit);
          log(record, newLimit, source);
        });
    return upstream.isPresent();
  }

  private void log(UpstreamRecord upstream, KnownLimit newLimit, String source) {
    @Nullable KnownLimit previous = lastLogged.get(upstream.incarnationId());
    if (previous == null || newLimit.differsNoticeablyFrom(previous)) {
      lastLogged.put(upstream.incarnationId(), newLimit);
      events
          .change(newLimit.isLimit() ? "upstream-limit" : "upstream-limit-lifted")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("in-1000-s", newLimit.requestsPer1000Seconds())
          .with("from", source)
          .write();
    }
  }

  /** Returns the limits to report to other boxes, after removing those of unknown upstreams. */
  public List<LimitReport> reports() {
    if (byIncarnation.isEmpty()) {
      return List.of();
    }
    Set<String> knownIncarnationIds =
        knownUpstreams.get().stream().map(UpstreamRecord::incarnationId).collect(toSet());
    byIncarnation.keySet().retainAll(knownIncarnationIds);
    lastLogged.keySet().retainAll(knownIncarnationIds);
    long now = clock.nanos();
    return byIncarnation.entrySet().stream()
        .filter(
            entry ->
                entry.getValue().isLimit()
                    || now - entry.getValue().firstSeenNanos() < LIFTED_REPORT_PERIOD.toNanos())
        .map(
            entry ->
                new LimitReport(
                    entry.getKey(),
                    entry.getValue().requestsPer1000Seconds(),
                    (now - entry.getValue().confirmedNanos()) / NANOS_PER_MILLI))
        .toList();
  }
}
