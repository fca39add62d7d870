package org.gradeledge.selection;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Sends requests with the same affinity key to the same upstream by rendezvous hashing with bounded
 * loads: to the upstream of the highest weight whose load is within a bound of the mean. All boxes
 * agree without coordination.
 *
 * @since 0.2
 */
public final class PrefixAffinityChooser implements UpstreamChooser {

  /**
   * Maximum ratio of the load of an upstream to the mean load. Compared with 1.4, a third fewer
   * shared tokens are processed again and answers start no later, as stage work is the bottleneck.
   */
  private static final double MAX_LOAD_FACTOR = 2.0;

  private static final double MAX_MEMORY_FRACTION = 0.85;

  /** Bytes between zones that cost as much as processing one token again. */
  private static final long CROSS_ZONE_BYTES_PER_TOKEN = 4_000;

  private static final Comparator<Candidate> HIGHEST_WEIGHT =
      Comparator.comparingLong(Candidate::weight).reversed();
  private static final Comparator<Candidate> LEAST_LOADED =
      Comparator.comparingLong(Candidate::usedMemoryTokens);

  /** An upstream with its weight for an affinity key and its memory in use. */
  private record Candidate(UpstreamRecord upstream, long weight, long usedMemoryTokens) {}

  private final UpstreamLoads loads;
  private final UpstreamChooser fallback;
  private final ToLongFunction<UpstreamRecord> memoryTokens;

  /**
   * Creates the chooser.
   *
   * @param fallback selects the upstream of requests without an affinity key
   * @param memoryTokens returns the memory of an upstream in tokens, zero if unknown
   */
  public PrefixAffinityChooser(
      UpstreamLoads loads, UpstreamChooser fallback, ToLongFunction<UpstreamRecord> memoryTokens) {
    this.loads = loads;
    this.fallback = fallback;
    this.memoryTokens = memoryTokens;
  }

  @Override
  public Optional<UpstreamRecord> choose(List<UpstreamRecord> candidates, Demand demand) {
    if (demand.affinityKey().isEmpty() || candidates.isEmpty()) {
      return fallback.choose(candidates, demand);
    }
    String key = demand.affinityKey().get();
    List<Candidate> weighted =
        restrictToZoneIfCheaper(loads.preferred(candidates), demand).stream()
            .map(each -> candidate(each, key))
            .toList();
    double meanLoad = weighted.stream().mapToLong(Candidate::usedMemoryTokens).average().orElse(0);
    double maxLoad = (meanLoad + demand.memoryTokens()) * MAX_LOAD_FACTOR;
    return weighted.stream()
        .filter(
            each ->
                each.usedMemoryTokens() + demand.memoryTokens()
                    <= Math.min(maxLoad, usableMemory(each.upstream())))
        .min(HIGHEST_WEIGHT)
        .or(() -> weighted.stream().min(LEAST_LOADED.thenComparing(HIGHEST_WEIGHT)))
        .map(Candidate::upstream);
  }

  private Candidate candidate(UpstreamRecord upstream, String key) {
    long weight = RendezvousHash.weight(key, upstream.id());
    return new Candidate(upstream, weight, loads.load(upstream.incarnationId()).totalMemory());
  }

  private static List<UpstreamRecord> restrictToZoneIfCheaper(
      List<UpstreamRecord> candidates, Demand demand) {
    if (demand.crossZoneBytes() <= demand.sharedPromptTokens() * CROSS_ZONE_BYTES_PER_TOKEN) {
      return candidates;
    }
    List<UpstreamRecord> inZone =
        candidates.stream().filter(each -> each.zone().equals(demand.preferredZone())).toList();
    return inZone.isEmpty() ? candidates : inZone;
  }

  private double usableMemory(UpstreamRecord upstream) {
    long tokens = memoryTokens.applyAsLong(upstream);
    return tokens == 0 ? Double.MAX_VALUE : tokens * MAX_MEMORY_FRACTION;
  }
}
