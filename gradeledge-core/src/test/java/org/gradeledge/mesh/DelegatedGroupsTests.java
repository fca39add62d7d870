package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageWorkListener;
import org.junit.jupiter.api.Test;

class DelegatedGroupsTests {

  private static final StageWorkListener NO_LISTENER = result -> {};

  private final DelegatedGroups delegated = new DelegatedGroups();

  @Test
  void findsTheGroupsOfARequestAndOfABox() {
    DelegatedGroup first = delegated.add(group("one", 0), NO_LISTENER, "box-1");
    DelegatedGroup second = delegated.add(group("one", 1), NO_LISTENER, "box-2");
    DelegatedGroup other = delegated.add(group("two", 0), NO_LISTENER, "box-1");

    assertThat(delegated.ofRequest("one")).containsExactly(first, second);
    assertThat(delegated.ofBox("box-1")).containsExactlyInAnyOrder(first, other);
  }

  @Test
  void removesEqualGroupsByIdentityAndOnlyOnce() {
    DelegatedGroup first = delegated.add(group("one", 0), NO_LISTENER, "box-1");
    DelegatedGroup second = delegated.add(group("one", 0), NO_LISTENER, "box-1");

    assertThat(delegated.remove(first)).isTrue();
    assertThat(delegated.remove(first)).isFalse();
    assertThat(delegated.ofRequest("one")).containsExactly(second);
  }

  @Test
  void aRequestHasNoGroupsAfterTheirRemoval() {
    delegated.remove(delegated.add(group("one", 0), NO_LISTENER, "box-1"));

    assertThat(delegated.ofRequest("one")).isEmpty();
    assertThat(delegated.ofBox("box-1")).isEmpty();
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
