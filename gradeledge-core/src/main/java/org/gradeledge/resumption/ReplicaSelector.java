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
 * Selects the boxes that store the origin of a stream, by rendezvous hashing of its key, the first
 * ones in different availability zones where possible. Boxes that know the same members select the
 * same ones, and a member that joins or leaves replaces at most one of them.
 *
 * @since 0.3
 */
public abstract class ReplicaSelector {

  private ReplicaSelector() {}

  /**
   * Selects boxes for a stream.
   *
   * @param streamKey key of the stream
   * @param count maximum number of boxes; fewer are a prefix of more
   */
  public static List<String> select(
      long streamKey, Collection<String> boxes, Function<String, String> zoneOf, int count) {
    List<String> ranked =
        boxes.stream().sorted(RendezvousHash.byRank(Long.toHexString(streamKey))).toList();
    Set<String> zones = new HashSet<>();
    Set<String> firstOfZones = new LinkedHashSet<>();
    ranked.stream().filter(box -> zones.add(zoneOf.apply(box))).forEach(firstOfZones::add);
    return Stream.concat(firstOfZones.stream(), ranked.stream()).distinct().limit(count).toList();
  }
}
