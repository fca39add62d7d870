package org.gradeledge.batch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.gradeledge.deployment.Urgency;

/**
 * Counts the pieces that admitted requests will submit once their earlier stages are complete, for
 * the requests of this box and, as reported, of its peers. Admission would otherwise underestimate
 * the load of later stages. Confined to the event loop.
 *
 * @since 0.2
 */
public final class PendingPieces {

  /** Number of priority levels; less urgent priorities count as the last level. */
  static final int PRIORITY_LEVELS = Urgency.LEVELS;

  private final Map<String, long[]> ownCounts = new HashMap<>();
  private final Map<String, Map<String, List<Long>>> countsByPeer = new HashMap<>();

  /** Adds pieces that a request of this box will submit. */
  public void add(String service, int priority, int pieces) {
    ownCounts.computeIfAbsent(service, name -> new long[PRIORITY_LEVELS])[level(priority)] +=
        pieces;
  }

  /** Removes pieces that were submitted or are no longer required. */
  public void remove(String service, int priority, int pieces) {
    add(service, priority, -pieces);
  }

  /**
   * Returns the counts for the requests of this box by service and priority, without trailing
   * zeros.
   */
  public Map<String, List<Long>> ownCounts() {
    Map<String, List<Long>> counts = new HashMap<>();
    ownCounts.forEach((service, pieces) -> putIfAny(counts, service, pieces));
    return counts;
  }

  private static void putIfAny(Map<String, List<Long>> counts, String service, long[] pieces) {
    int levels = PRIORITY_LEVELS;
    while (levels > 0 && pieces[levels - 1] == 0) {
      levels--;
    }
    if (levels > 0) {
      counts.put(service, Arrays.stream(pieces, 0, levels).boxed().toList());
    }
  }

  /** Replaces the counts that a peer reported for its own requests. */
  public void setPeerCounts(String peer, Map<String, List<Long>> counts) {
    countsByPeer.put(peer, counts);
  }

  /** Removes the counts of a peer. */
  public void removePeer(String peer) {
    countsByPeer.remove(peer);
  }

  /**
   * Returns the number of pending pieces of a service with this priority or a more urgent one; zero
   * if the priority is negative.
   */
  long total(String service, int priority) {
    if (priority < 0) {
      return 0;
    }
    long peerCount =
        countsByPeer.values().stream()
            .map(counts -> counts.getOrDefault(service, List.of()))
            .mapToLong(counts -> sum(counts, priority))
            .sum();
    long[] ownByPriority = ownCounts.getOrDefault(service, new long[PRIORITY_LEVELS]);
    return peerCount + Arrays.stream(ownByPriority, 0, level(priority) + 1).sum();
  }

  private static long sum(List<Long> counts, int priority) {
    int levels = Math.min(counts.size(), level(priority) + 1);
    return IntStream.range(0, levels).mapToLong(counts::get).sum();
  }

  /** Returns the level that a priority counts as. */
  static int level(int priority) {
    return Math.max(0, Math.min(priority, PRIORITY_LEVELS - 1));
  }
}
