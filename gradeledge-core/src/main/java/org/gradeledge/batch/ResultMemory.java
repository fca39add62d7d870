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
 * How much room results take at the upstreams of a service, and which upstreams said that they have
 * none. Other boxes hear of it by the load board. Confined to the event loop.
 */
final class ResultMemory {

  private static final long INITIAL_FULL_MILLIS = 250;
  private static final long MAX_FULL_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * A result.
   *
   * @param incarnation the start of an upstream that holds it
   */
  private record StoredResult(String incarnation, long bytes, long expiryNanos) {}

  private record FullPeriod(long millis, long untilNanos) {}

  private final MonotonicClock clock;
  private final UpstreamLoads loads;
  private final Map<String, StoredResult> byHandle = new LinkedHashMap<>();
  private final Map<String, Long> bytesByIncarnation = new HashMap<>();
  private final Map<String, FullPeriod> fullPeriods = new HashMap<>();

  ResultMemory(MonotonicClock clock, UpstreamLoads board) {
    this.clock = clock;
    this.loads = board;
  }

  /** Notes a result, which is there until it is given up or has been kept long enough. */
  void add(String handle, String upstream, long bytes, long keptMillis) {
    fullPeriods.remove(upstream);
    remove(List.of(handle));
    adjust(upstream, bytes);
    byHandle.put(handle, new StoredResult(upstream, bytes, nanosAfter(keptMillis)));
  }

  /**
   * Notes that an upstream said that it has no room, whoever may hold it; it is asked again after a
   * while that doubles each time.
   */
  void markFull(String upstream) {
    FullPeriod before = fullPeriods.get(upstream);
    if (before != null && before.untilNanos() - clock.nanos() > 0) {
      return;
    }
    long millis =
        before == null ? INITIAL_FULL_MILLIS : Math.min(MAX_FULL_MILLIS, before.millis() * 2);
    fullPeriods.put(upstream, new FullPeriod(millis, nanosAfter(millis)));
  }

  /** Returns whether an upstream said a short while ago that it has no room. */
  boolean isFull(String upstream) {
    FullPeriod said = fullPeriods.get(upstream);
    return said != null && said.untilNanos() - clock.nanos() > 0;
  }

  /** Returns which start of an upstream holds a result. */
  Optional<String> incarnationOf(String handle) {
    return Optional.ofNullable(byHandle.get(handle)).map(StoredResult::incarnation);
  }

  void remove(Collection<String> handles) {
    handles.stream()
        .flatMap(handle -> Optional.ofNullable(byHandle.remove(handle)).stream())
        .forEach(this::releaseMemory);
  }

  long bytesAt(String upstream) {
    expire();
    return bytesByIncarnation.getOrDefault(upstream, 0L);
  }

  /**
   * Gives back the room of results that have been kept long enough, whoever has forgotten them. All
   * are kept equally long, so that the oldest come first.
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

  private void releaseMemory(StoredResult held) {
    adjust(held.incarnation(), -held.bytes());
  }

  private void adjust(String upstream, long bytes) {
    loads.adjustMemory(upstream, bytes);
    bytesByIncarnation.merge(upstream, bytes, (before, more) -> nullIfZero(before + more));
  }

  private static @Nullable Long nullIfZero(long bytes) {
    return bytes == 0 ? null : bytes;
  }

  private long nanosAfter(long millis) {
    return clock.nanos() + millis * NANOS_PER_MILLI;
  }
}
