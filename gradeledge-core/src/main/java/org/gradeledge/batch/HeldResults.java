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
final class HeldResults {

  private static final long FIRST_FULL_MILLIS = 250;
  private static final long LONGEST_FULL_MILLIS = 1_000;
  private static final long NANOS_OF_MILLI = 1_000_000;

  /**
   * A result.
   *
   * @param upstream the start of an upstream that holds it
   */
  private record Held(String upstream, long bytes, long untilNanos) {}

  private record Full(long millis, long untilNanos) {}

  private final MonotonicClock clock;
  private final UpstreamLoads board;
  private final Map<String, Held> byHandle = new LinkedHashMap<>();
  private final Map<String, Long> bytesByUpstream = new HashMap<>();
  private final Map<String, Full> full = new HashMap<>();

  HeldResults(MonotonicClock clock, UpstreamLoads board) {
    this.clock = clock;
    this.board = board;
  }

  /** Notes a result, which is there until it is given up or has been kept long enough. */
  void add(String handle, String upstream, long bytes, long keptMillis) {
    full.remove(upstream);
    remove(List.of(handle));
    count(upstream, bytes);
    byHandle.put(handle, new Held(upstream, bytes, after(keptMillis)));
  }

  /**
   * Notes that an upstream said that it has no room, whoever may hold it; it is asked again after a
   * while that doubles each time.
   */
  void full(String upstream) {
    Full before = full.get(upstream);
    if (before != null && before.untilNanos() - clock.nanos() > 0) {
      return;
    }
    long millis =
        before == null ? FIRST_FULL_MILLIS : Math.min(LONGEST_FULL_MILLIS, before.millis() * 2);
    full.put(upstream, new Full(millis, after(millis)));
  }

  /** Returns whether an upstream said a short while ago that it has no room. */
  boolean isFull(String upstream) {
    Full said = full.get(upstream);
    return said != null && said.untilNanos() - clock.nanos() > 0;
  }

  /** Returns which start of an upstream holds a result. */
  Optional<String> makerOf(String handle) {
    return Optional.ofNullable(byHandle.get(handle)).map(Held::upstream);
  }

  void remove(Collection<String> handles) {
    handles.stream()
        .flatMap(handle -> Optional.ofNullable(byHandle.remove(handle)).stream())
        .forEach(this::giveBack);
  }

  long bytesAt(String upstream) {
    expire();
    return bytesByUpstream.getOrDefault(upstream, 0L);
  }

  /**
   * Gives back the room of results that have been kept long enough, whoever has forgotten them. All
   * are kept equally long, so that the oldest come first.
   */
  void expire() {
    long now = clock.nanos();
    List<String> expired =
        byHandle.entrySet().stream()
            .takeWhile(entry -> entry.getValue().untilNanos() - now < 0)
            .map(Map.Entry::getKey)
            .toList();
    remove(expired);
  }

  private void giveBack(Held held) {
    count(held.upstream(), -held.bytes());
  }

  private void count(String upstream, long bytes) {
    board.adjustMemory(upstream, bytes);
    bytesByUpstream.merge(upstream, bytes, (before, more) -> emptyIfNone(before + more));
  }

  private static @Nullable Long emptyIfNone(long bytes) {
    return bytes == 0 ? null : bytes;
  }

  private long after(long millis) {
    return clock.nanos() + millis * NANOS_OF_MILLI;
  }
}
