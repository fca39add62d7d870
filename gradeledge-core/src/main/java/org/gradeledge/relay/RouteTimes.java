package org.gradeledge.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.gradeledge.time.FadingAverage;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.time.WindowedMaximum;

/**
 * Observed times of requests, by route: a moving average from sending a request to the first event
 * of its answer, and the longest time from arrival to the end of a complete answer.
 *
 * <p>The average fades to zero while there are no answers, as requests are refused by it. Confined
 * to the event loop.
 */
final class RouteTimes {

  /** A guess would refuse the requests of a route before any is measured. */
  private static final double UNMEASURED_MILLIS = 0;

  private static final double SMOOTHING = 0.1;

  /** Longer than the time between two answers of a route that is in use. */
  private static final Duration TRUSTED = Duration.ofSeconds(2);

  private static final Duration HALF_LIFE = Duration.ofSeconds(2);
  private static final Duration LONGEST_WINDOW = Duration.ofSeconds(20);

  private final MonotonicClock clock;
  private final Map<String, FadingAverage> meanMillisByRoute = new HashMap<>();
  private final Map<String, WindowedMaximum> longestMillisByRoute = new HashMap<>();

  RouteTimes(MonotonicClock clock) {
    this.clock = clock;
  }

  void observeFirstEvent(String route, double millis) {
    meanMillisByRoute
        .computeIfAbsent(route, name -> new FadingAverage(clock, SMOOTHING, TRUSTED, HALF_LIFE))
        .observe(millis, UNMEASURED_MILLIS);
  }

  void observeWhole(String route, long millis) {
    longestMillisByRoute
        .computeIfAbsent(route, name -> new WindowedMaximum(clock, LONGEST_WINDOW))
        .observe(millis);
  }

  /** Returns the longest recent time of a complete answer, if there was one. */
  OptionalLong longestMillis(String route) {
    WindowedMaximum longest = longestMillisByRoute.get(route);
    return longest == null ? OptionalLong.empty() : longest.value();
  }

  /** Returns the average in milliseconds, 0 if there is no measurement. */
  double meanFirstEventMillis(String route) {
    FadingAverage mean = meanMillisByRoute.get(route);
    return mean == null ? UNMEASURED_MILLIS : mean.value(UNMEASURED_MILLIS);
  }
}
