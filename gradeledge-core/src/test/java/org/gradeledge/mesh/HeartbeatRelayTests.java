package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HeartbeatRelayTests {

  private static final long MILLI = 1_000_000;
  private static final Heartbeat OWN = Heartbeats.of("zone-a", 1);

  private long nowNanos = 10_000 * MILLI;
  private final HeartbeatRelay relay = new HeartbeatRelay("self", () -> nowNanos);

  @Test
  void passesOnWhatItHeardWithItsAge() {
    relay.heard("one", Heartbeats.of("zone-a", 3));
    nowNanos += 250 * MILLI;

    assertThat(relay.ofAll(OWN).entries())
        .containsExactly(
            new DigestEntry("self", 0, OWN),
            new DigestEntry("one", 250, Heartbeats.of("zone-a", 3)));
  }

  @Test
  void worksForThoseThatAskedAShortWhileAgo() {
    relay.heard("asks", Heartbeats.of("zone-a", 1).askingToRelay());
    relay.heard("does-not", Heartbeats.of("zone-a", 1));
    assertThat(relay.flock(1_000)).containsExactly("asks");

    nowNanos += 1_001 * MILLI;

    assertThat(relay.flock(1_000)).isEmpty();
  }

  @Test
  void theSameHeartbeatOverTwoRelaysCountsOnce() {
    DigestEntry entry = new DigestEntry("far", 100, Heartbeats.of("zone-b", 1));
    assertThat(relay.takeNewer(new Digest(List.of(entry)))).containsExactly(entry);
    nowNanos += 20 * MILLI;
    DigestEntry again = new DigestEntry("far", 110, Heartbeats.of("zone-b", 1));

    assertThat(relay.takeNewer(new Digest(List.of(again)))).isEmpty();
  }

  @Test
  void anOlderHeartbeatNeverTakesThePlaceOfANewerOne() {
    relay.heard("one", Heartbeats.of("zone-a", 7));

    DigestEntry older = new DigestEntry("one", 500, Heartbeats.of("zone-a", 6));
    assertThat(relay.takeNewer(new Digest(List.of(older)))).isEmpty();

    assertThat(relay.ofAll(OWN).entries())
        .contains(new DigestEntry("one", 0, Heartbeats.of("zone-a", 7)));
  }

  @Test
  void doesNotTakeItsOwnHeartbeatBack() {
    DigestEntry own = new DigestEntry("self", 0, OWN);

    assertThat(relay.takeNewer(new Digest(List.of(own)))).isEmpty();
  }

  @Test
  void tellsOtherZonesOfItsFlockAlone() {
    relay.heard("near", Heartbeats.of("zone-a", 1).askingToRelay());
    relay.takeNewer(new Digest(List.of(new DigestEntry("far", 0, Heartbeats.of("zone-b", 1)))));

    assertThat(relay.of(Set.of("near"), OWN).entries())
        .extracting(DigestEntry::box)
        .containsExactly("self", "near");
  }
}
