package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

class PeerTableTests {

  private static final long MILLI = 1_000_000;

  private long nowNanos;
  private final PeerTable board =
      new PeerTable("self", "zone", 1, () -> nowNanos, EventLogs.silent());

  @Test
  void aBoxThatHasJustStartedDoesNotKnowYetWhoElseIsThere() {
    assertThat(board.isDiscoveryComplete()).isFalse();

    nowNanos += 500 * MILLI;
    assertThat(board.isDiscoveryComplete()).isTrue();
  }

  @Test
  void aBoxWaitsWhileItStillHearsOthersForTheFirstTimeButNotForEver() {
    nowNanos += 450 * MILLI;
    board.update("one", "zone", false, 1, 0);
    nowNanos += 200 * MILLI;
    assertThat(board.isDiscoveryComplete()).isFalse();
    board.update("two", "zone", false, 1, 0);
    nowNanos += 290 * MILLI;
    assertThat(board.isDiscoveryComplete()).isFalse();

    board.update("three", "zone", false, 1, 0);
    nowNanos += 260 * MILLI;

    assertThat(board.isDiscoveryComplete()).isTrue();
  }

  @Test
  void aBoxThatIsSilentForTooLongIsLostAndToldOfOnce() {
    List<String> lost = new ArrayList<>();
    board.onLost(lost::add);
    board.update("one", "zone", false, 1, 400);
    nowNanos += 700 * MILLI;
    board.expire(1_000);
    board.expire(1_000);

    assertThat(lost).containsExactly("one");
    assertThat(board.alive()).containsExactly("self");
  }

  @Test
  void oneThatIsLeavingDoesNoWorkForOthers() {
    board.update("one", "zone", true, 1, 0);

    assertThat(board.available()).containsExactly("self");
    assertThat(board.alive()).containsExactly("one", "self");
  }

  @Test
  void whoWorksIsLookedAtAgainOnlyWhereABoxComesGoesOrLeaves() {
    board.update("one", "zone", false, 1, 0);
    Set<String> before = board.available();
    board.update("one", "zone", false, 1, 0);
    assertThat(board.available()).isSameAs(before);

    board.update("one", "zone", true, 1, 0);
    assertThat(board.available()).containsExactly("self");

    board.leave();
    board.update("two", "other-zone", false, 1, 0);
    assertThat(board.available()).containsExactly("two");
    assertThat(board.zones()).containsExactly("other-zone", "zone");
  }

  @Test
  void aStrongerBoxComesBeforeAllWeakerOnesInEveryDuty() {
    for (int box = 0; box < 40; box++) {
      board.update("weak-" + box, "zone", false, 20, 0);
    }
    board.update("strong", "zone", false, 150, 0);

    for (int duty = 0; duty < 20; duty++) {
      assertThat(board.alive().stream().min(board.byRank("duty-" + duty))).contains("strong");
    }
  }

  @Test
  void boxesThatAreAlikeShareTheDuties() {
    for (int box = 0; box < 10; box++) {
      board.update("box-" + box, "zone", false, 36 + box, 0);
    }
    Set<String> chosen = new HashSet<>();
    for (int duty = 0; duty < 60; duty++) {
      chosen.add(board.alive().stream().min(board.byRank("duty-" + duty)).orElseThrow());
    }

    assertThat(chosen).hasSizeGreaterThan(6).doesNotContain("self");
  }

  @Test
  void aBoxThatTellsAnotherStrengthComesToAnotherPlace() {
    board.update("one", "zone", false, 20, 0);
    board.update("two", "zone", false, 40, 0);
    Set<String> before = board.available();

    board.update("one", "zone", false, 150, 0);

    assertThat(board.available()).isNotSameAs(before);
    assertThat(board.alive().stream().min(board.byRank("duty"))).contains("one");
  }
}
