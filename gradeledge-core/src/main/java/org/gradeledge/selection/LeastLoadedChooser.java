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

  private static final double NOTHING_KNOWN_MILLIS = 10;
  private static final double OTHER_ZONE = 1.1;
  private static final double NOISE = 0.2;

  private final LoadBoard board;
  private final RandomGenerator random;

  /** Creates the chooser. */
  public LeastLoadedChooser(LoadBoard board, RandomGenerator random) {
    this.board = board;
    this.random = random;
  }

  @Override
  public Optional<UpstreamRecord> choose(List<UpstreamRecord> candidates, Demand demand) {
    record Scored(UpstreamRecord upstream, double score) {}

    List<UpstreamRecord> preferred = board.preferred(candidates);
    double unknown = fastestMillis(preferred);
    return preferred.stream()
        .map(each -> new Scored(each, score(each, demand, unknown)))
        .min(Comparator.comparingDouble(Scored::score))
        .map(Scored::upstream);
  }

  /** One that was never used counts as fast as the fastest, so that it is tried. */
  private double fastestMillis(List<UpstreamRecord> upstreams) {
    return upstreams.stream()
        .mapToDouble(each -> board.load(each.incarnationId()).latencyMillis())
        .filter(millis -> millis > 0)
        .min()
        .orElse(NOTHING_KNOWN_MILLIS);
  }

  private double score(UpstreamRecord upstream, Demand demand, double unknownMillis) {
    UpstreamLoad load = board.load(upstream.incarnationId());
    int slots = Math.max(1, upstream.slots());
    double queue = 1 + (double) load.totalRunning() / slots;
    double full = load.totalRunning() >= slots ? 1 + load.totalRunning() - slots : 1;
    double zone = upstream.zone().equals(demand.zone()) ? 1 : OTHER_ZONE;
    double noise = 1 + NOISE * random.nextDouble();
    return load.cost(unknownMillis) * queue * full * zone * noise;
  }
}
