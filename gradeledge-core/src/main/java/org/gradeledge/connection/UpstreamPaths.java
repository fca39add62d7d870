package org.gradeledge.connection;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLog;
import org.gradeledge.time.MonotonicClock;

/**
 * Tracks the upstreams that this box cannot connect to directly. A failed path is checked
 * periodically until it works again or the upstream is gone. It counts as lost once another box has
 * reached the upstream, which tells a network partition from an upstream that is down; all other
 * paths are then checked as well, because a partition usually affects several.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.3
 */
public final class UpstreamPaths {

  /** Interval of the checks of a failed path. */
  static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

  /** Far above a round trip. */
  public static final Duration CHECK_TIMEOUT = Duration.ofMillis(300);

  /** Other boxes are not asked again within this time after none of them reached the upstream. */
  private static final Duration UNREACHABLE_RETENTION = Duration.ofMillis(250);

  /** Connects to an upstream and passes the result to a listener. */
  @FunctionalInterface
  public interface DirectCheck extends BiConsumer<UpstreamRecord, Consumer<PathCheck>> {}

  private static final class FailedPath {
    private final long sinceNanos;
    private boolean lost;
    private boolean unreachable;
    private long unreachableNanos;

    FailedPath(long sinceNanos) {
      this.sinceNanos = sinceNanos;
    }
  }

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog events;
  private final Supplier<Collection<UpstreamRecord>> upstreams;
  private final DirectCheck directCheck;
  private final Map<String, FailedPath> failedByIncarnation = new HashMap<>();
  private Consumer<UpstreamRecord> silentListener = upstream -> {};
  private long allCheckedNanos;

  /**
   * Creates an instance whose paths all work.
   *
   * @param upstreams returns the known upstreams
   * @param directCheck connects to an upstream directly
   */
  public UpstreamPaths(
      EventLoop loop,
      MonotonicClock clock,
      EventLog events,
      Supplier<Collection<UpstreamRecord>> upstreams,
      DirectCheck directCheck) {
    this.loop = loop;
    this.clock = clock;
    this.events = events;
    this.upstreams = upstreams;
    this.directCheck = directCheck;
    this.allCheckedNanos = clock.nanos() - CHECK_INTERVAL.toNanos();
  }

  /**
   * Sets the listener for upstreams to which this box cannot connect because nobody answers: open
   * connections to them are likely to be affected too, unlike those of paths that refuse new ones.
   */
  public void onSilent(Consumer<UpstreamRecord> listener) {
    silentListener = listener;
  }

  /** Returns whether the last direct connection to an upstream failed. */
  public boolean hasFailed(UpstreamRecord upstream) {
    return failedByIncarnation.containsKey(upstream.incarnationId());
  }

  /** Returns whether this box cannot connect to an upstream that other boxes reach. */
  public boolean isLost(UpstreamRecord upstream) {
    FailedPath path = failedByIncarnation.get(upstream.incarnationId());
    return path != null && path.lost;
  }

  /** Returns whether neither this box nor others could connect to an upstream a moment ago. */
  public boolean isUnreachable(UpstreamRecord upstream) {
    FailedPath path = failedByIncarnation.get(upstream.incarnationId());
    return path != null
        && path.unreachable
        && clock.nanos() - path.unreachableNanos < UNREACHABLE_RETENTION.toNanos();
  }

  /** Returns the number of upstreams that only other boxes can connect to. */
  public long lostCount() {
    return failedByIncarnation.values().stream().filter(path -> path.lost).count();
  }

  /** Records that a direct connection was established. */
  public void recordConnected(UpstreamRecord upstream) {
    FailedPath path = failedByIncarnation.remove(upstream.incarnationId());
    if (path != null && path.lost) {
      events
          .change("upstream-path-regained")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("ms", TimeUnit.NANOSECONDS.toMillis(clock.nanos() - path.sinceNanos))
          .write();
    }
  }

  /** Records that a direct connection could not be established, and how it failed. */
  public void recordFailed(UpstreamRecord upstream, PathCheck failure) {
    if (!hasFailed(upstream)) {
      failedByIncarnation.put(upstream.incarnationId(), new FailedPath(clock.nanos()));
      events
          .change("upstream-not-connected")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("why", failure.name())
          .write();
      scheduleCheck(upstream);
    }
  }

  /** Records that no other box could connect to an upstream either. */
  public void recordUnreachable(UpstreamRecord upstream) {
    FailedPath path = failedByIncarnation.get(upstream.incarnationId());
    if (path != null) {
      path.unreachable = true;
      path.unreachableNanos = clock.nanos();
    }
  }

  /**
   * Records that another box connected to an upstream to which a direct connection failed or takes
   * long.
   *
   * @param failure how the direct connection failed
   */
  public void recordReachedBy(String box, UpstreamRecord upstream, PathCheck failure) {
    recordFailed(upstream, failure);
    FailedPath path = failedByIncarnation.get(upstream.incarnationId());
    path.unreachable = false;
    if (path.lost) {
      return;
    }
    path.lost = true;
    events
        .change("upstream-path-lost")
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("reached-by", box)
        .write();
    if (failure == PathCheck.SILENT) {
      silentListener.accept(upstream);
    }
    checkAll();
  }

  /** Forgets an upstream that is gone. */
  public void remove(UpstreamRecord upstream) {
    failedByIncarnation.remove(upstream.incarnationId());
  }

  private void checkAll() {
    if (clock.nanos() - allCheckedNanos < CHECK_INTERVAL.toNanos()) {
      return;
    }
    allCheckedNanos = clock.nanos();
    List.copyOf(upstreams.get()).stream()
        .filter(upstream -> !hasFailed(upstream))
        .forEach(upstream -> directCheck.accept(upstream, result -> record(upstream, result)));
  }

  private void scheduleCheck(UpstreamRecord upstream) {
    loop.schedule(() -> check(upstream), CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void check(UpstreamRecord upstream) {
    if (!isKnown(upstream)) {
      remove(upstream);
    } else if (hasFailed(upstream)) {
      directCheck.accept(upstream, result -> recordRepeated(upstream, result));
    }
  }

  private boolean isKnown(UpstreamRecord upstream) {
    return upstreams.get().stream()
        .anyMatch(known -> known.incarnationId().equals(upstream.incarnationId()));
  }

  private void recordRepeated(UpstreamRecord upstream, PathCheck result) {
    if (result == PathCheck.REACHED) {
      recordConnected(upstream);
    } else if (hasFailed(upstream)) {
      scheduleCheck(upstream);
    }
  }

  private void record(UpstreamRecord upstream, PathCheck result) {
    if (result == PathCheck.REACHED) {
      recordConnected(upstream);
      return;
    }
    recordFailed(upstream, result);
    if (result == PathCheck.SILENT) {
      silentListener.accept(upstream);
    }
  }
}
