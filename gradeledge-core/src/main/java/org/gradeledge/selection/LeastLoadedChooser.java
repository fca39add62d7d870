package org.gradeledge.selection;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Takes the upstream where a request is expected to be done first, by the requests under way at all
 * boxes and the usual time of a request; a nearer zone wins where that is even.
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
  public LeastLoadedChooser(UpstreamLoads board, RandomGenerator random) {
    this.loads = board;
    this.random = random;
  }

  @Override
  public Optional<UpstreamRecord> choose(List<UpstreamRecord> candidates, Demand demand) {
    record Scored(UpstreamRecord upstream, double score) {}

    List<UpstreamRecord> preferred = loads.preferred(candidates);
    double unknown = lowestLatencyMillis(preferred);
    return preferred.stream()
        .map(each -> new Scored(each, score(each, demand, unknown)))
        .min(Comparator.comparingDouble(Scored::score))
        .map(Scored::upstream);
  }

  /** One that was never used counts as fast as the fastest, so that it is tried. */
  private double lowestLatencyMillis(List<UpstreamRecord> upstreams) {
    return upstreams.stream()
        .mapToDouble(each -> loads.load(each.incarnationId()).latencyMillis())
        .filter(millis -> millis > 0)
        .min()
        .orElse(DEFAULT_LATENCY_MILLIS);
  }

  private double score(UpstreamRecord upstream, Demand demand, double unknownMillis) {
    UpstreamLoad load = loads.load(upstream.incarnationId());
    int slots = Math.max(1, upstream.slots());
    double queue = 1 + (double) load.totalInFlight() / slots;
    double full = load.totalInFlight() >= slots ? 1 + load.totalInFlight() - slots : 1;
    double zone = upstream.zone().equals(demand.preferredZone()) ? 1 : OTHER_ZONE_FACTOR;
    double noise = 1 + NOISE * random.nextDouble();
    return load.expectedMillis(unknownMillis) * queue * full * zone * noise;
  }
}
