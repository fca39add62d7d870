package org.gradeledge.standin.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/**
 * Schedule of requests; the same seed gives the same plan.
 *
 * @param arrivals requests in the order of their scheduled times
 */
public record LoadPlan(List<Arrival> arrivals) {

  /** Copies the list. */
  public LoadPlan {
    arrivals = List.copyOf(arrivals);
  }

  /** Returns Poisson arrivals in a time range, with targets chosen uniformly at random. */
  public static LoadPlan poisson(
      List<Target> targets, double perSecond, double fromSecond, double toSecond, long seed) {
    Random random = new Random(seed);
    List<Arrival> arrivals = new ArrayList<>();
    double atSecond = fromSecond;
    while (true) {
      atSecond += -Math.log(1 - random.nextDouble()) / perSecond;
      if (atSecond >= toSecond) {
        return new LoadPlan(arrivals);
      }
      Target target = targets.get(random.nextInt(targets.size()));
      arrivals.add(new Arrival((long) (atSecond * 1e9), target));
    }
  }

  /** Returns a plan with the requests of both plans. */
  public LoadPlan mergedWith(LoadPlan other) {
    return new LoadPlan(
        Stream.concat(arrivals.stream(), other.arrivals.stream())
            .sorted(Comparator.comparingLong(Arrival::dueNanos))
            .toList());
  }
}
