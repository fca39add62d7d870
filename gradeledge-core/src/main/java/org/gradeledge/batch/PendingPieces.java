package org.gradeledge.batch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.gradeledge.deployment.Urgency;

/**
 * The pieces that admitted requests will want made once their earlier stages are done: those of
 * this box's requests, and what its peers tell of theirs. Without them the queue of a later stage
 * looks short while the work for it is on its way. Confined to the event loop.
 *
 * @since 0.2
 */
public final class PendingPieces {

  /** Priorities that are told apart; less urgent ones count as the last. */
  static final int PRIORITY_LEVELS = Urgency.LEVELS;

  private final Map<String, long[]> ownCounts = new HashMap<>();
  private final Map<String, Map<String, List<Long>>> countsByPeer = new HashMap<>();

  /** Adds pieces that a request of this box will want made. */
  public void add(String service, int priority, int pieces) {
    ownCounts.computeIfAbsent(service, name -> new long[PRIORITY_LEVELS])[level(priority)] +=
        pieces;
  }

  /** Takes pieces out that are waiting at their service now, or are not wanted any more. */
  public void remove(String service, int priority, int pieces) {
    add(service, priority, -pieces);
  }

  /**
   * Returns the pieces to come of this box's requests, by service and priority; priorities after
   * the last one with any are left out, as heartbeats of many boxes carry these lists.
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

  /** Takes the place of what a peer told of its own requests before. */
  public void setPeerCounts(String box, Map<String, List<Long>> counts) {
    countsByPeer.put(box, counts);
  }

  /** Forgets what a peer told. */
  public void removePeer(String box) {
    countsByPeer.remove(box);
  }

  /** Returns how many pieces as urgent as a priority or more are on their way to a service. */
  long total(String service, int priority) {
    long ofPeers =
        countsByPeer.values().stream()
            .map(counts -> counts.getOrDefault(service, List.of()))
            .mapToLong(counts -> sum(counts, priority))
            .sum();
    long[] ofOwn = ownCounts.getOrDefault(service, new long[PRIORITY_LEVELS]);
    return ofPeers + Arrays.stream(ofOwn, 0, level(priority) + 1).sum();
  }

  private static long sum(List<Long> counts, int priority) {
    int levels = Math.min(counts.size(), level(priority) + 1);
    return IntStream.range(0, levels).mapToLong(counts::get).sum();
  }

  private static int level(int priority) {
    return Math.max(0, Math.min(priority, PRIORITY_LEVELS - 1));
  }
}
