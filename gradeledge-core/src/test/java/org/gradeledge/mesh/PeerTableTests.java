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
  private final PeerTable peers =
      new PeerTable("self", "zone", 1, () -> nowNanos, EventLogs.silent());

  @Test
  void discoveryTakesAMinimumTime() {
    assertThat(peers.isDiscoveryComplete()).isFalse();

    nowNanos += 500 * MILLI;
    assertThat(peers.isDiscoveryComplete()).isTrue();
  }

  @Test
  void newPeersExtendDiscoveryUpToTheMaximumTime() {
    nowNanos += 450 * MILLI;
    peers.update("one", "zone", false, 1, 0);
    nowNanos += 200 * MILLI;
    assertThat(peers.isDiscoveryComplete()).isFalse();
    peers.update("two", "zone", false, 1, 0);
    nowNanos += 290 * MILLI;
    assertThat(peers.isDiscoveryComplete()).isFalse();

    peers.update("three", "zone", false, 1, 0);
    nowNanos += 260 * MILLI;

    assertThat(peers.isDiscoveryComplete()).isTrue();
  }

  @Test
  void reportsASilentBoxAsLostOnce() {
    List<String> lost = new ArrayList<>();
    peers.onLost(lost::add);
    peers.update("one", "zone", false, 1, 400);
    nowNanos += 700 * MILLI;
    peers.expire(1_000);
    peers.expire(1_000);

    assertThat(lost).containsExactly("one");
    assertThat(peers.alive()).containsExactly("self");
  }

  @Test
  void aLeavingBoxIsAliveButNotAvailable() {
    peers.update("one", "zone", true, 1, 0);

    assertThat(peers.available()).containsExactly("self");
    assertThat(peers.alive()).containsExactly("one", "self");
  }

  @Test
  void replacesTheAvailableSetOnlyWhenABoxChanges() {
    peers.update("one", "zone", false, 1, 0);
    Set<String> before = peers.available();
    peers.update("one", "zone", false, 1, 0);
    assertThat(peers.available()).isSameAs(before);

    peers.update("one", "zone", true, 1, 0);
    assertThat(peers.available()).containsExactly("self");

    peers.leave();
    peers.update("two", "other-zone", false, 1, 0);
    assertThat(peers.available()).containsExactly("two");
    assertThat(peers.zones()).containsExactly("other-zone", "zone");
  }

  @Test
  void aBoxOfGreaterWeightRanksFirstForEveryTask() {
    for (int box = 0; box < 40; box++) {
      peers.update("weak-" + box, "zone", false, 20, 0);
    }
    peers.update("strong", "zone", false, 150, 0);

    for (int task = 0; task < 20; task++) {
      assertThat(peers.alive().stream().min(peers.byRank("duty-" + task))).contains("strong");
    }
  }

  @Test
  void boxesOfSimilarWeightShareTheTasks() {
    for (int box = 0; box < 10; box++) {
      peers.update("box-" + box, "zone", false, 36 + box, 0);
    }
    Set<String> chosen = new HashSet<>();
    for (int task = 0; task < 60; task++) {
      chosen.add(peers.alive().stream().min(peers.byRank("duty-" + task)).orElseThrow());
    }

    assertThat(chosen).hasSizeGreaterThan(6).doesNotContain("self");
  }

  @Test
  void aChangedWeightChangesTheRank() {
    peers.update("one", "zone", false, 20, 0);
    peers.update("two", "zone", false, 40, 0);
    Set<String> before = peers.available();

    peers.update("one", "zone", false, 150, 0);

    assertThat(peers.available()).isNotSameAs(before);
    assertThat(peers.alive().stream().min(peers.byRank("duty"))).contains("one");
  }
}
