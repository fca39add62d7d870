package org.gradeledge.standin.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/**
 * Requests with the times at which they are due; the same seed gives the same plan.
 *
 * @param arrivals in order of time
 */
public record LoadPlan(List<Arrival> arrivals) {

  /** Copies the list. */
  public LoadPlan {
    arrivals = List.copyOf(arrivals);
  }

  /** Returns Poisson arrivals over some time, spread evenly over the targets. */
  public static LoadPlan poisson(
      List<Target> targets, double perSecond, double fromSecond, double toSecond, long seed) {
    Random random = new Random(seed);
    List<Arrival> arrivals = new ArrayList<>();
    double at = fromSecond;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / perSecond;
      if (at >= toSecond) {
        return new LoadPlan(arrivals);
      }
      Target target = targets.get(random.nextInt(targets.size()));
      arrivals.add(new Arrival((long) (at * 1e9), target));
    }
  }

  /** Returns both plans together. */
  public LoadPlan mergedWith(LoadPlan other) {
    return new LoadPlan(
        Stream.concat(arrivals.stream(), other.arrivals.stream())
            .sorted(Comparator.comparingLong(Arrival::dueNanos))
            .toList());
  }
}
