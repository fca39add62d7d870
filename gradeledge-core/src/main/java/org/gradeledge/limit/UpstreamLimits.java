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
  private static final Duration LIFTED_TOLD = Duration.ofSeconds(10);

  private static final double THOUSAND_SECONDS = 1_000;

  /** A rate beyond this is as good as none; it keeps sums of rates in bounds. */
  private static final double MOST_PER_SECOND = 1e9;

  /** An upstream may name another figure in each answer: only larger changes are worth a line. */
  private static final double LOGGED_CHANGE = 1.2;

  private static final long NANOS_OF_MILLI = 1_000_000;

  /**
   * What is known of one start: a rate, or that there is none any more.
   *
   * @param notedNanos when that was last shown
   * @param sinceNanos when it was first shown
   */
  private record Known(long perThousandSeconds, long notedNanos, long sinceNanos) {

    Known(long perThousandSeconds, long notedNanos) {
      this(perThousandSeconds, notedNanos, notedNanos);
    }

    Known shownAgain(long shownNanos) {
      return new Known(perThousandSeconds, shownNanos, sinceNanos);
    }

    boolean isLimit() {
      return perThousandSeconds != LimitReport.LIFTED;
    }

    double perSecond() {
      return perThousandSeconds / THOUSAND_SECONDS;
    }

    boolean isFarFrom(Known other) {
      double smaller = Math.min(perThousandSeconds, other.perThousandSeconds);
      double larger = Math.max(perThousandSeconds, other.perThousandSeconds);
      return isLimit() != other.isLimit() || larger > smaller * LOGGED_CHANGE;
    }
  }

  private final MonotonicClock clock;
  private final EventLog events;
  private final Supplier<Collection<UpstreamRecord>> listed;
  private final Map<String, Known> byStart = new HashMap<>();
  private final Map<String, Known> logged = new HashMap<>();
  private final UnreadableSignalLog unreadable;
  private Runnable onNews = () -> {};

  /**
   * Creates it; no limit is known.
   *
   * @param listed all upstreams that are known; what is told of others is passed over
   */
  public UpstreamLimits(
      MonotonicClock clock, EventLog events, Supplier<Collection<UpstreamRecord>> listed) {
    this.clock = clock;
    this.events = events;
    this.listed = listed;
    this.unreadable = new UnreadableSignalLog(events, "upstream-limit-unreadable");
  }

  /** Runs an action whenever this box itself hears a first limit of an upstream, or its end. */
  public void onNews(Runnable action) {
    onNews = action;
  }

  /** Returns how many requests a second a start takes from all boxes, empty without a limit. */
  public OptionalDouble limitOf(String start) {
    Known known = byStart.get(start);
    return known == null || !known.isLimit()
        ? OptionalDouble.empty()
        : OptionalDouble.of(known.perSecond());
  }

  /** Returns how many starts have a limit. */
  public long count() {
    return byStart.values().stream().filter(Known::isLimit).count();
  }

  /**
   * Takes in what an answer says.
   *
   * @param sentNanos when its request was sent
   */
  public void answered(UpstreamRecord upstream, long sentNanos, LimitStatement statement) {
    switch (statement.kind()) {
      case NAMED -> named(upstream, statement.perSecond());
      case NO_LIMIT -> lifted(upstream, sentNanos);
      case UNREADABLE -> unreadable.report(upstream, statement.text());
      case NOTHING -> {}
      default -> throw new IllegalStateException("unknown statement " + statement.kind());
    }
  }

  private void named(UpstreamRecord upstream, double perSecond) {
    long rate = Math.round(Math.min(perSecond, MOST_PER_SECOND) * THOUSAND_SECONDS);
    boolean news = limitOf(upstream.incarnationId()).isEmpty();
    if (put(upstream.incarnationId(), new Known(rate, clock.nanos()), "answer") && news) {
      onNews.run();
    }
  }

  private void lifted(UpstreamRecord upstream, long sentNanos) {
    Known known = byStart.get(upstream.incarnationId());
    if (known == null || sentNanos - known.notedNanos() <= 0) {
      return;
    }
    if (known.isLimit()) {
      put(upstream.incarnationId(), new Known(LimitReport.LIFTED, sentNanos), "answer");
      onNews.run();
    } else {
      // Otherwise a word of before, which another box has heard meanwhile, would count as younger.
      byStart.put(upstream.incarnationId(), known.shownAgain(sentNanos));
    }
  }

  /**
   * Takes in what another box told so many milliseconds ago; returns whether any of it is other
   * than was known.
   */
  public boolean told(String box, Collection<LimitReport> reports, long ageMillis) {
    return reports.stream().filter(report -> told(box, report, ageMillis)).count() > 0;
  }

  /**
   * One that says the same changes nothing, not even the age: what goes round between boxes would
   * grow younger by the time that each message takes.
   */
  private boolean told(String box, LimitReport report, long ageMillis) {
    long noted = clock.nanos() - (report.ageMillis() + ageMillis) * NANOS_OF_MILLI;
    Known told = new Known(report.perThousandSeconds(), noted);
    Known known = byStart.get(report.start());
    boolean news =
        known == null
            ? told.isLimit()
            : known.perThousandSeconds() != told.perThousandSeconds()
                && told.notedNanos() - known.notedNanos() > 0;
    return news && put(report.start(), told, box);
  }

  private boolean put(String start, Known now, String from) {
    Optional<UpstreamRecord> upstream =
        listed.get().stream().filter(each -> each.incarnationId().equals(start)).findFirst();
    upstream.ifPresent(
        record -> {
          byStart.put(start, now);
          log(record, now, from);
        });
    return upstream.isPresent();
  }

  private void log(UpstreamRecord upstream, Known now, String from) {
    @Nullable Known before = logged.get(upstream.incarnationId());
    if (before == null || now.isFarFrom(before)) {
      logged.put(upstream.incarnationId(), now);
      events
          .change(now.isLimit() ? "upstream-limit" : "upstream-limit-lifted")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("in-1000-s", now.perThousandSeconds())
          .with("from", from)
          .write();
    }
  }

  /** Returns what is told to all others; what is known of upstreams that are gone is dropped. */
  public List<LimitReport> reports() {
    if (byStart.isEmpty()) {
      return List.of();
    }
    Set<String> there = listed.get().stream().map(UpstreamRecord::incarnationId).collect(toSet());
    byStart.keySet().retainAll(there);
    logged.keySet().retainAll(there);
    long now = clock.nanos();
    return byStart.entrySet().stream()
        .filter(
            entry ->
                entry.getValue().isLimit()
                    || now - entry.getValue().sinceNanos() < LIFTED_TOLD.toNanos())
        .map(
            entry ->
                new LimitReport(
                    entry.getKey(),
                    entry.getValue().perThousandSeconds(),
                    (now - entry.getValue().notedNanos()) / NANOS_OF_MILLI))
        .toList();
  }
}
