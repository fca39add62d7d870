package org.gradeledge.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving average of the time from sending a request to the first event of its answer, by route.
 * Confined to the event loop.
 */
final class FirstEventTimes {

  private static final double INITIAL_MILLIS = 250;
  private static final double SMOOTHING = 0.1;

  private final Map<String, Double> meanMillisByRoute = new HashMap<>();

  void observe(String route, double millis) {
    meanMillisByRoute.merge(route, millis, (mean, latest) -> mean + SMOOTHING * (latest - mean));
  }

  /** Returns the average in milliseconds, or a default if there is no measurement. */
  double meanMillis(String route) {
    return meanMillisByRoute.getOrDefault(route, INITIAL_MILLIS);
  }
}
