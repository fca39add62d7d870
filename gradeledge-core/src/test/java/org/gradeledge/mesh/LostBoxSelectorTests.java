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

  private static final int BEATS = 4_000;

  private final PeerTable peers = new PeerTable("self", "zone-a", 1, () -> 0, EventLogs.silent());
  private final Set<String> known = new HashSet<>();
  private final LostBoxSelector lost = new LostBoxSelector(peers, known, new Random(7));

  @Test
  void nobodyIsTriedWhileAllAreHeard() {
    hear(30);

    assertThat(tries()).isEmpty();
  }

  @Test
  void allBoxesTogetherTryALostOneTwiceABeat() {
    hear(39);
    known.add("away");

    List<String> tries = tries();

    assertThat(tries).containsOnly("away");
    assertThat(tries.size() * 40.0 / BEATS).isBetween(1.6, 2.4);
  }

  @Test
  void whereMostAreLostEachIsTriedInItsTurn() {
    hear(10);
    IntStream.range(0, 50).forEach(box -> known.add("away-" + box));

    List<String> tries = tries();

    assertThat(tries).hasSize(BEATS);
    assertThat(Set.copyOf(tries)).hasSize(50);
  }

  private void hear(int boxes) {
    for (int box = 0; box < boxes; box++) {
      known.add("box-" + box);
      peers.update("box-" + box, "zone-a", false, 1, 0);
    }
  }

  private List<String> tries() {
    return IntStream.range(0, BEATS).boxed().flatMap(beat -> lost.next().stream()).toList();
  }
}
