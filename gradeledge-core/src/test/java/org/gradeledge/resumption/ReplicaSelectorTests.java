package org.gradeledge.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ReplicaSelectorTests {

  private static final int COUNT = 3;

  @Property(tries = 300)
  void selectsSameBoxesInDifferentZonesInAnyOrder(
      @ForAll @IntRange(min = 1, max = 61) int boxes, @ForAll long seed) {
    List<String> members = members(boxes);
    List<String> shuffled = new ArrayList<>(members);
    Collections.shuffle(shuffled, new Random(seed));

    List<String> selected = select(seed, members);

    assertThat(select(seed, shuffled)).isEqualTo(selected);
    assertThat(selected).hasSize(Math.min(COUNT, boxes)).doesNotHaveDuplicates();
    assertThat(zones(selected)).hasSize(Math.min(COUNT, zones(members).size()));
  }

  // Guards against asking boxes other than those that received the record.
  @Property(tries = 300)
  void keepsAllButOneBoxWhenAMemberChanges(
      @ForAll @IntRange(min = 4, max = 61) int boxes, @ForAll long seed) {
    List<String> members = members(boxes);
    List<String> fewer = new ArrayList<>(members);
    fewer.remove(new Random(seed).nextInt(boxes));

    Set<String> kept = new TreeSet<>(select(seed, members));
    kept.retainAll(select(seed, fewer));

    assertThat(kept).hasSizeGreaterThanOrEqualTo(COUNT - 1);
  }

  @Test
  void distributesStreamsOverAllBoxes() {
    List<String> members = members(8);
    Set<String> selected =
        IntStream.range(0, 200)
            .mapToObj(number -> select(number, members))
            .flatMap(List::stream)
            .collect(Collectors.toSet());

    assertThat(selected).containsExactlyInAnyOrderElementsOf(members);
  }

  private static List<String> select(long streamKey, List<String> members) {
    return ReplicaSelector.select(streamKey, members, ReplicaSelectorTests::zoneOf, COUNT);
  }

  private static List<String> members(int count) {
    return IntStream.range(0, count).mapToObj(number -> "10.0.0." + number + ":1").toList();
  }

  private static Set<String> zones(List<String> members) {
    return members.stream().map(ReplicaSelectorTests::zoneOf).collect(Collectors.toSet());
  }

  private static String zoneOf(String box) {
    return "zone-" + Math.floorMod(box.hashCode(), 4);
  }
}
