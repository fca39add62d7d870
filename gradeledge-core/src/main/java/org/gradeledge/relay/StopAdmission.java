package org.gradeledge.relay;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a box that is stopping may accept a request: only if it ends before the box does,
 * by its timeout or by the durations that were observed on its route. Confined to the event loop.
 */
final class StopAdmission {

  /** Factor on the longest observed duration, as a request may take longer. */
  private static final double DURATION_MARGIN = 1.2;

  private final MonotonicClock clock;
  private final RouteTimes routeTimes;
  private @Nullable Long stopNanos;

  StopAdmission(MonotonicClock clock, RouteTimes routeTimes) {
    this.clock = clock;
    this.routeTimes = routeTimes;
  }

  /**
   * Sets when the box ends.
   *
   * @param nanos time on the monotonic clock
   */
  void stopAt(long nanos) {
    stopNanos = nanos;
  }

  /**
   * Returns whether the box is stopping and may end before the request does. Without a complete
   * answer on the route only the timeout of the request counts.
   *
   * @param inFlight requests that have not ended; their age is a lower bound of their duration
   */
  boolean mayOutlastStop(AdmittedRequest request, Collection<AdmittedRequest> inFlight) {
    if (stopNanos == null) {
      return false;
    }
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(stopNanos - clock.nanos());
    if (request.timeoutMillis() <= leftMillis) {
      return false;
    }
    String route = request.route().name();
    OptionalLong longest = routeTimes.longestMillis(route);
    return longest.isEmpty()
        || Math.max(longest.getAsLong(), oldestMillis(route, inFlight)) * DURATION_MARGIN
            > leftMillis;
  }

  private long oldestMillis(String route, Collection<AdmittedRequest> inFlight) {
    return inFlight.stream()
        .filter(request -> request.route().name().equals(route))
        .mapToLong(request -> clock.nanos() - request.arrivalNanos())
        .map(TimeUnit.NANOSECONDS::toMillis)
        .max()
        .orElse(0);
  }
}
