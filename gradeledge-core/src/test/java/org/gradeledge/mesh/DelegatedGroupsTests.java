package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageWorkListener;
import org.junit.jupiter.api.Test;

class DelegatedGroupsTests {

  private static final StageWorkListener NOBODY = result -> {};

  private final DelegatedGroups placed = new DelegatedGroups();

  @Test
  void findsTheGroupsOfARequestAndOfABox() {
    DelegatedGroup first = placed.add(group("one", 0), NOBODY, "box-1");
    DelegatedGroup second = placed.add(group("one", 1), NOBODY, "box-2");
    DelegatedGroup other = placed.add(group("two", 0), NOBODY, "box-1");

    assertThat(placed.ofRequest("one")).containsExactly(first, second);
    assertThat(placed.ofBox("box-1")).containsExactlyInAnyOrder(first, other);
  }

  @Test
  void takesOutOneOfTwoThatAreAlikeAndEachOnlyOnce() {
    DelegatedGroup first = placed.add(group("one", 0), NOBODY, "box-1");
    DelegatedGroup second = placed.add(group("one", 0), NOBODY, "box-1");

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
