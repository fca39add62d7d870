package org.gradeledge.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.gradeledge.time.MonotonicClock;

/** How much room results take at the upstreams of a service. Confined to the event loop. */
final class HeldResults {

  private static final long FULL_MILLIS = 250;

  private record Held(String upstream, long bytes, long untilNanos) {}

  private final MonotonicClock clock;
  private final Map<String, Held> byHandle = new HashMap<>();

  HeldResults(MonotonicClock clock) {
    this.clock = clock;
  }

  void add(String handle, String upstream, long bytes, long keptMillis) {
    byHandle.put(handle, new Held(upstream, bytes, clock.nanos() + keptMillis * 1_000_000));
  }

  /** Notes that an upstream said that it has no room, whoever may hold it. */
  void full(String upstream, long bytes) {
    add("full@" + upstream, upstream, bytes, FULL_MILLIS);
  }

  void remove(Collection<String> handles) {
    handles.forEach(byHandle::remove);
  }

  long bytesAt(String upstream) {
    long now = clock.nanos();
    byHandle.values().removeIf(held -> held.untilNanos() - now < 0);
    return byHandle.values().stream()
        .filter(held -> held.upstream().equals(upstream))
        .mapToLong(Held::bytes)
        .sum();
  }
}
