package org.gradeledge.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * How long upstreams usually take from a request to the first event of its answer, by route.
 * Confined to the event loop.
 */
final class FirstEventTimes {

  private static final double INITIAL_MILLIS = 250;
  private static final double SMOOTHING = 0.1;

  private final Map<String, Double> meanMillisByRoute = new HashMap<>();

  /** Takes a measurement in. */
  void observe(String route, double millis) {
    meanMillisByRoute.merge(route, millis, (mean, latest) -> mean + SMOOTHING * (latest - mean));
  }

  /** Returns the usual time in milliseconds, a guess where none was measured. */
  double meanMillis(String route) {
    return meanMillisByRoute.getOrDefault(route, INITIAL_MILLIS);
  }
}
