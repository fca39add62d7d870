package org.gradeledge.batch;

import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import java.util.stream.Collectors;

/**
 * Accounts for the time of upstreams and the places in calls that are not used while pieces wait,
 * by cause. Confined to the event loop.
 */
final class UnusedCapacity {

  private final Map<UnusedCause, Long> idleNanos = new EnumMap<>(UnusedCause.class);
  private final Map<UnusedCause, Long> unfilledPlaces = new EnumMap<>(UnusedCause.class);
  private List<UnusedCause> idleUpstreams = List.of();
  private long observedNanos;

  /**
   * Records the upstreams that are idle from now on, one element each; those recorded before were
   * idle until now.
   */
  void recordIdle(Collection<UnusedCause> idleNow, long nowNanos) {
    idleUpstreams.forEach(cause -> idleNanos.merge(cause, nowNanos - observedNanos, Long::sum));
    idleUpstreams = List.copyOf(idleNow);
    observedNanos = nowNanos;
  }

  /** Records the places of a call that were left free. */
  void recordUnfilled(UnusedCause cause, int places) {
    unfilledPlaces.merge(cause, (long) places, Long::sum);
  }

  /** Returns the idle time in milliseconds by cause, as text. */
  String idleText() {
    return text(idleNanos, TimeUnit.NANOSECONDS::toMillis);
  }

  /** Returns the number of places left free by cause, as text. */
  String unfilledText() {
    return text(unfilledPlaces, LongUnaryOperator.identity());
  }

  void reset() {
    idleNanos.clear();
    unfilledPlaces.clear();
  }

  private static String text(Map<UnusedCause, Long> amounts, LongUnaryOperator unit) {
    return Arrays.stream(UnusedCause.values())
        .filter(amounts::containsKey)
        .map(cause -> cause.label() + ":" + unit.applyAsLong(amounts.get(cause)))
        .collect(Collectors.joining(","));
  }
}
