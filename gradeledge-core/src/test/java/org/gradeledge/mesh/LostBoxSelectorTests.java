package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

class LostBoxSelectorTests {

  private static final int HEARTBEATS = 4_000;

  private final PeerTable peers = new PeerTable("self", "zone-a", 1, () -> 0, EventLogs.silent());
  private final Set<String> knownBoxes = new HashSet<>();
  private final LostBoxSelector selector = new LostBoxSelector(peers, knownBoxes, new Random(7));

  @Test
  void selectsNothingWhileAllBoxesAreAlive() {
    addAliveBoxes(30);

    assertThat(selections()).isEmpty();
  }

  @Test
  void allBoxesTogetherSelectALostBoxTwicePerHeartbeat() {
    addAliveBoxes(39);
    knownBoxes.add("away");

    List<String> selections = selections();

    assertThat(selections).containsOnly("away");
    assertThat(selections.size() * 40.0 / HEARTBEATS).isBetween(1.6, 2.4);
  }

  @Test
  void selectsEachLostBoxIfMostAreLost() {
    addAliveBoxes(10);
    IntStream.range(0, 50).forEach(box -> knownBoxes.add("away-" + box));

    List<String> selections = selections();

    assertThat(selections).hasSize(HEARTBEATS);
    assertThat(Set.copyOf(selections)).hasSize(50);
  }

  private void addAliveBoxes(int boxes) {
    for (int box = 0; box < boxes; box++) {
      knownBoxes.add("box-" + box);
      peers.update("box-" + box, "zone-a", false, 1, 0);
    }
  }

  private List<String> selections() {
    return IntStream.range(0, HEARTBEATS)
        .boxed()
        .flatMap(heartbeat -> selector.next().stream())
        .toList();
  }
}
