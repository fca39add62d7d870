package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageWorkListener;
import org.junit.jupiter.api.Test;

class PlacedGroupsTests {

  private static final StageWorkListener NOBODY = result -> {};

  private final PlacedGroups placed = new PlacedGroups();

  @Test
  void findsTheGroupsOfARequestAndOfABox() {
    PlacedGroup first = placed.add(group("one", 0), NOBODY, "box-1");
    PlacedGroup second = placed.add(group("one", 1), NOBODY, "box-2");
    PlacedGroup other = placed.add(group("two", 0), NOBODY, "box-1");

    assertThat(placed.ofRequest("one")).containsExactly(first, second);
    assertThat(placed.ofBox("box-1")).containsExactlyInAnyOrder(first, other);
  }

  @Test
  void takesOutOneOfTwoThatAreAlikeAndEachOnlyOnce() {
    PlacedGroup first = placed.add(group("one", 0), NOBODY, "box-1");
    PlacedGroup second = placed.add(group("one", 0), NOBODY, "box-1");

    assertThat(placed.remove(first)).isTrue();
    assertThat(placed.remove(first)).isFalse();
    assertThat(placed.ofRequest("one")).containsExactly(second);
  }

  @Test
  void nothingIsLeftOfARequestWhoseGroupsAreOut() {
    placed.remove(placed.add(group("one", 0), NOBODY, "box-1"));

    assertThat(placed.ofRequest("one")).isEmpty();
    assertThat(placed.ofBox("box-1")).isEmpty();
  }

  private static StageGroup group(String request, int stage) {
    return new StageGroup(
        "service",
        request,
        stage,
        1,
        Optional.empty(),
        List.of(),
        0,
        1,
        "",
        0,
        100,
        100,
        100,
        true);
  }
}
