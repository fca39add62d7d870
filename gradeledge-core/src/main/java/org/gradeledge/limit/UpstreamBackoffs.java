package org.gradeledge.limit;

import java.util.HashMap;
import java.util.Map;
import org.gradeledge.discovery.UnreadableSignals;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLog;
import org.gradeledge.time.MonotonicClock;

/**
 * The starts of upstreams that have turned a request of this box away and want no more from it for
 * a while. Each such answer opens a time of its own: a later, shorter one does not end an earlier
 * one, and neither does an answer to work that was done. Confined to the event loop.
 *
 * @since 0.5
 */
public final class UpstreamBackoffs {

  private final MonotonicClock clock;
  private final EventLog events;
  private final UnreadableSignals unreadable;
  private final Map<String, Long> endNanosByStart = new HashMap<>();

  /** Creates it; no upstream backs off. */
  public UpstreamBackoffs(MonotonicClock clock, EventLog events) {
    this.clock = clock;
    this.events = events;
    this.unreadable = new UnreadableSignals(events, "upstream-backoff-unreadable");
  }

  /** Takes in what an answer says. */
  public void answered(UpstreamRecord upstream, BackoffStatement statement) {
    switch (statement.kind()) {
      case REQUESTED -> requested(upstream, statement);
      case UNREADABLE -> unreadable.note(upstream, statement.text());
      case NOTHING -> {}
      default -> throw new IllegalStateException("unknown statement " + statement.kind());
    }
  }

  private void requested(UpstreamRecord upstream, BackoffStatement statement) {
    long now = clock.nanos();
    long end = now + statement.duration().toNanos();
    Long before = endNanosByStart.get(upstream.start());
    if (before == null || end - before > 0) {
      endNanosByStart.put(upstream.start(), end);
    }
    if (before == null || before - now <= 0) {
      events
          .change("upstream-backoff")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("ms", statement.duration().toMillis())
          .write();
    }
  }

  /** Returns how many upstreams want nothing from this box now. */
  public long count() {
    long now = clock.nanos();
    endNanosByStart.values().removeIf(end -> end - now <= 0);
    return endNanosByStart.size();
  }
}
