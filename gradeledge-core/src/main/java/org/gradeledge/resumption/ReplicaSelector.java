package org.gradeledge.resumption;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.gradeledge.selection.RendezvousHash;

/**
 * Selects the boxes that store the origin of a stream, by rendezvous hashing of its id, in
 * different availability zones where possible. Boxes that know the same members select the same
 * ones, and a member that joins or leaves replaces at most one of them.
 *
 * @since 0.3
 */
public final class ReplicaSelector {

  private final int count;

  /**
   * Creates a selector.
   *
   * @param count number of boxes to select
   */
  public ReplicaSelector(int count) {
    this.count = count;
  }

  /** Selects boxes for a stream. */
  public List<String> select(
      String requestId, Collection<String> boxes, Function<String, String> zoneOf) {
    List<String> ranked = boxes.stream().sorted(RendezvousHash.byRank(requestId)).toList();
    Set<String> zones = new HashSet<>();
    Set<String> firstOfZones = new LinkedHashSet<>();
    ranked.stream().filter(box -> zones.add(zoneOf.apply(box))).forEach(firstOfZones::add);
    return Stream.concat(firstOfZones.stream(), ranked.stream()).distinct().limit(count).toList();
  }
}
