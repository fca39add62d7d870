package org.gradeledge.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the memory that results occupy at the upstreams of a service and the upstreams that
 * reported that their memory is full. Peers receive the occupied memory through the load table.
 * Confined to the event loop.
 */
final class ResultMemory {

  private static final long INITIAL_FULL_MILLIS = 250;
  private static final long MAX_FULL_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * A result at an upstream.
   *
   * @param incarnation id of the upstream incarnation that stores it
   */
  private record StoredResult(String incarnation, long bytes, long expiryNanos) {}

  private record FullPeriod(long millis, long untilNanos) {}

  private final MonotonicClock clock;
  private final UpstreamLoads loads;
  private final Map<String, StoredResult> byHandle = new LinkedHashMap<>();
  private final Map<String, Long> bytesByIncarnation = new HashMap<>();
  private final Map<String, FullPeriod> fullPeriods = new HashMap<>();

  ResultMemory(MonotonicClock clock, UpstreamLoads loads) {
    this.clock = clock;
    this.loads = loads;
  }

  /** Adds a result, which stays until it is removed or its retention period has passed. */
  void add(String handle, String incarnation, long bytes, long retentionMillis) {
    fullPeriods.remove(incarnation);
    remove(List.of(handle));
    adjust(incarnation, bytes);
    byHandle.put(handle, new StoredResult(incarnation, bytes, nanosAfter(retentionMillis)));
  }

  /**
   * Marks an upstream as full for a period that doubles with each consecutive report up to a
   * maximum.
   */
  void markFull(String incarnation) {
    FullPeriod previous = fullPeriods.get(incarnation);
    if (previous != null && previous.untilNanos() - clock.nanos() > 0) {
      return;
    }
    long millis =
        previous == null ? INITIAL_FULL_MILLIS : Math.min(MAX_FULL_MILLIS, previous.millis() * 2);
    fullPeriods.put(incarnation, new FullPeriod(millis, nanosAfter(millis)));
  }

  /** Returns whether an upstream is marked as full. */
  boolean isFull(String incarnation) {
    FullPeriod period = fullPeriods.get(incarnation);
    return period != null && period.untilNanos() - clock.nanos() > 0;
  }

  /** Returns the upstream incarnation that stores a result. */
  Optional<String> incarnationOf(String handle) {
    return Optional.ofNullable(byHandle.get(handle)).map(StoredResult::incarnation);
  }

  void remove(Collection<String> handles) {
    handles.stream()
        .flatMap(handle -> Optional.ofNullable(byHandle.remove(handle)).stream())
        .forEach(this::releaseMemory);
  }

  long bytesAt(String incarnation) {
    expire();
    return bytesByIncarnation.getOrDefault(incarnation, 0L);
  }

  /**
   * Removes the results whose retention period has passed. All have the same period, so the oldest
   * are first.
   */
  void expire() {
    long now = clock.nanos();
    List<String> expired =
        byHandle.entrySet().stream()
            .takeWhile(entry -> entry.getValue().expiryNanos() - now < 0)
            .map(Map.Entry::getKey)
            .toList();
    remove(expired);
  }

  private void releaseMemory(StoredResult result) {
    adjust(result.incarnation(), -result.bytes());
  }

  private void adjust(String incarnation, long bytes) {
    loads.adjustMemory(incarnation, bytes);
    bytesByIncarnation.merge(incarnation, bytes, (total, change) -> nullIfZero(total + change));
  }

  private static @Nullable Long nullIfZero(long bytes) {
    return bytes == 0 ? null : bytes;
  }

  private long nanosAfter(long millis) {
    return clock.nanos() + millis * NANOS_PER_MILLI;
  }
}
