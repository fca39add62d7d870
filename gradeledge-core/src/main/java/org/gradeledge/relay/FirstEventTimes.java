package org.gradeledge.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.gradeledge.time.FadingAverage;
import org.gradeledge.time.MonotonicClock;

/**
 * Moving average of the time from sending a request to the first event of its answer, by route. It
 * fades while there are no answers, as requests are refused by it. Confined to the event loop.
 */
final class FirstEventTimes {

  private static final double INITIAL_MILLIS = 250;
  private static final double SMOOTHING = 0.1;

  /** Longer than the time between two answers of a route that is in use. */
  private static final Duration TRUSTED = Duration.ofSeconds(2);

  private static final Duration HALF_LIFE = Duration.ofSeconds(2);

  private final MonotonicClock clock;
  private final Map<String, FadingAverage> meanMillisByRoute = new HashMap<>();

  FirstEventTimes(MonotonicClock clock) {
    this.clock = clock;
  }

  void observe(String route, double millis) {
    meanMillisByRoute
        .computeIfAbsent(route, name -> new FadingAverage(clock, SMOOTHING, TRUSTED, HALF_LIFE))
        .observe(millis, INITIAL_MILLIS);
  }

  /** Returns the average in milliseconds, or a default if there is no measurement. */
  double meanMillis(String route) {
    FadingAverage mean = meanMillisByRoute.get(route);
    return mean == null ? INITIAL_MILLIS : mean.value(INITIAL_MILLIS);
  }
}
