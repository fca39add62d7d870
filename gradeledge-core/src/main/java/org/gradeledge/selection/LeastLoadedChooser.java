package org.gradeledge.selection;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Selects the upstream with the lowest expected completion time, derived from its latency and the
 * requests in flight from all boxes; at similar times the same zone is preferred.
 *
 * @since 0.2
 */
public final class LeastLoadedChooser implements UpstreamChooser {

  private static final double DEFAULT_LATENCY_MILLIS = 10;
  private static final double OTHER_ZONE_FACTOR = 1.1;
  private static final double NOISE = 0.2;

  private final UpstreamLoads loads;
  private final RandomGenerator random;

  /** Creates the chooser. */
  public LeastLoadedChooser(UpstreamLoads loads, RandomGenerator random) {
    this.loads = loads;
    this.random = random;
  }

  @Override
  public Optional<UpstreamRecord> choose(List<UpstreamRecord> candidates, Demand demand) {
    record Scored(UpstreamRecord upstream, double score) {}

    List<UpstreamRecord> preferred = loads.preferred(candidates);
    double defaultMillis = lowestLatencyMillis(preferred);
    return preferred.stream()
        .map(each -> new Scored(each, score(each, demand, defaultMillis)))
        .min(Comparator.comparingDouble(Scored::score))
        .map(Scored::upstream);
  }

  /**
   * Returns the lowest known latency, which is also assumed for unused upstreams so that they are
   * tried.
   */
  private double lowestLatencyMillis(List<UpstreamRecord> upstreams) {
    return upstreams.stream()
        .mapToDouble(each -> loads.load(each.incarnationId()).latencyMillis())
        .filter(millis -> millis > 0)
        .min()
        .orElse(DEFAULT_LATENCY_MILLIS);
  }

  private double score(UpstreamRecord upstream, Demand demand, double defaultMillis) {
    UpstreamLoad load = loads.load(upstream.incarnationId());
    int slots = Math.max(1, upstream.slots());
    double queueFactor = 1 + (double) load.totalInFlight() / slots;
    double overloadFactor = load.totalInFlight() >= slots ? 1 + load.totalInFlight() - slots : 1;
    double zoneFactor = upstream.zone().equals(demand.preferredZone()) ? 1 : OTHER_ZONE_FACTOR;
    double noiseFactor = 1 + NOISE * random.nextDouble();
    return load.expectedMillis(defaultMillis)
        * queueFactor
        * overloadFactor
        * zoneFactor
        * noiseFactor;
  }
}
