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
 * The limits that upstreams name in their answers, as this box and others have heard them. A limit
 * belongs to one start of an upstream and holds until that start names none any more or is gone.
 *
 * <p>Answers pass each other: one without a limit lifts it only if its request was sent after the
 * limit was last named. Of what boxes tell each other the younger holds. Confined to the event
 * loop.
 *
 * @since 0.4
 */
public final class UpstreamLimits {

  /** Others still hear of a lifted limit for so long; 25 heartbeats among many boxes. */
  private static final Duration LIFTED_REPORT_PERIOD = Duration.ofSeconds(10);

  private static final double THOUSAND_SECONDS = 1_000;

  /** A rate beyond this is as good as none; it keeps sums of rates in bounds. */
  private static final double MAX_REQUESTS_PER_SECOND = 1e9;

  /** An upstream may name another figure in each answer: only larger changes are worth a line. */
  private static final double MIN_LOGGED_CHANGE_FACTOR = 1.2;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * What is known of one start: a rate, or that there is none any more.
   *
   * @param confirmedNanos when that was last shown
   * @param firstSeenNanos when it was first shown
   */
  private record KnownLimit(long requestsPer1000Seconds, long confirmedNanos, long firstSeenNanos) {

    KnownLimit(long perThousandSeconds, long notedNanos) {
      this(perThousandSeconds, notedNanos, notedNanos);
    }

    KnownLimit confirmedAt(long shownNanos) {
      return new KnownLimit(requestsPer1000Seconds, shownNanos, firstSeenNanos);
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
   * Creates it; no limit is known.
   *
   * @param listed all upstreams that are known; what is told of others is passed over
   */
  public UpstreamLimits(
      MonotonicClock clock, EventLog events, Supplier<Collection<UpstreamRecord>> listed) {
    this.clock = clock;
    this.events = events;
    this.knownUpstreams = listed;
    this.unreadableSignals = new UnreadableSignalLog(events, "upstream-limit-unreadable");
  }

  /** Runs an action whenever this box itself hears a first limit of an upstream, or its end. */
  public void onChange(Runnable action) {
    changeListener = action;
  }

  /** Returns how many requests a second a start takes from all boxes, empty without a limit. */
  public OptionalDouble limitOf(String start) {
    KnownLimit known = byIncarnation.get(start);
    return known == null || !known.isLimit()
        ? OptionalDouble.empty()
        : OptionalDouble.of(known.requestsPerSecond());
  }

  /** Returns how many starts have a limit. */
  public long limitedCount() {
    return byIncarnation.values().stream().filter(KnownLimit::isLimit).count();
  }

  /**
   * Takes in what an answer says.
   *
   * @param sentNanos when its request was sent
   */
  public void onAnswer(UpstreamRecord upstream, long sentNanos, LimitAnnouncement statement) {
    switch (statement.kind()) {
      case NAMED -> applyLimit(upstream, statement.requestsPerSecond());
      case NO_LIMIT -> liftLimit(upstream, sentNanos);
      case UNREADABLE -> unreadableSignals.report(upstream, statement.text());
      case NOTHING -> {}
      default -> throw new IllegalStateException("unknown statement " + statement.kind());
    }
  }

  private void applyLimit(UpstreamRecord upstream, double perSecond) {
    long rate = Math.round(Math.min(perSecond, MAX_REQUESTS_PER_SECOND) * THOUSAND_SECONDS);
    boolean news = limitOf(upstream.incarnationId()).isEmpty();
    if (put(upstream.incarnationId(), new KnownLimit(rate, clock.nanos()), "answer") && news) {
      changeListener.run();
    }
  }

  private void liftLimit(UpstreamRecord upstream, long sentNanos) {
    KnownLimit known = byIncarnation.get(upstream.incarnationId());
    if (known == null || sentNanos - known.confirmedNanos() <= 0) {
      return;
    }
    if (known.isLimit()) {
      put(upstream.incarnationId(), new KnownLimit(LimitReport.LIFTED, sentNanos), "answer");
      changeListener.run();
    } else {
      // Otherwise a word of before, which another box has heard meanwhile, would count as younger.
      byIncarnation.put(upstream.incarnationId(), known.confirmedAt(sentNanos));
    }
  }

  /**
   * Takes in what another box told so many milliseconds ago; returns whether any of it is other
   * than was known.
   */
  public boolean merge(String box, Collection<LimitReport> reports, long ageMillis) {
    return reports.stream().filter(report -> merge(box, report, ageMillis)).count() > 0;
  }

  /**
   * One that says the same changes nothing, not even the age: what goes round between boxes would
   * grow younger by the time that each message takes.
   */
  private boolean merge(String box, LimitReport report, long ageMillis) {
    long noted = clock.nanos() - (report.ageMillis() + ageMillis) * NANOS_PER_MILLI;
    KnownLimit told = new KnownLimit(report.requestsPer1000Seconds(), noted);
    KnownLimit known = byIncarnation.get(report.incarnationId());
    boolean news =
        known == null
            ? told.isLimit()
            : known.requestsPer1000Seconds() != told.requestsPer1000Seconds()
                && told.confirmedNanos() - known.confirmedNanos() > 0;
    return news && put(report.incarnationId(), told, box);
  }

  private boolean put(String start, KnownLimit now, String from) {
    Optional<UpstreamRecord> upstream =
        knownUpstreams.get().stream()
            .filter(each -> each.incarnationId().equals(start))
            .findFirst();
    upstream.ifPresent(
        record -> {
          byIncarnation.put(start, now);
          log(record, now, from);
        });
    return upstream.isPresent();
  }

  private void log(UpstreamRecord upstream, KnownLimit now, String from) {
    @Nullable KnownLimit before = lastLogged.get(upstream.incarnationId());
    if (before == null || now.differsNoticeablyFrom(before)) {
      lastLogged.put(upstream.incarnationId(), now);
      events
          .change(now.isLimit() ? "upstream-limit" : "upstream-limit-lifted")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("in-1000-s", now.requestsPer1000Seconds())
          .with("from", from)
          .write();
    }
  }

  /** Returns what is told to all others; what is known of upstreams that are gone is dropped. */
  public List<LimitReport> reports() {
    if (byIncarnation.isEmpty()) {
      return List.of();
    }
    Set<String> there =
        knownUpstreams.get().stream().map(UpstreamRecord::incarnationId).collect(toSet());
    byIncarnation.keySet().retainAll(there);
    lastLogged.keySet().retainAll(there);
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
