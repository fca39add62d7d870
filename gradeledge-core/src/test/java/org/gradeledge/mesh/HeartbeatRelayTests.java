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
    relay.receive("one", Heartbeats.of("zone-a", 3));
    nowNanos += 250 * MILLI;

    assertThat(relay.digestOfAll(OWN).entries())
        .containsExactly(
            new DigestEntry("self", 0, OWN),
            new DigestEntry("one", 250, Heartbeats.of("zone-a", 3)));
  }

  @Test
  void worksForThoseThatAskedAShortWhileAgo() {
    relay.receive("asks", Heartbeats.of("zone-a", 1).withRelayRequested());
    relay.receive("does-not", Heartbeats.of("zone-a", 1));
    assertThat(relay.relayedBoxes(1_000)).containsExactly("asks");

    nowNanos += 1_001 * MILLI;

    assertThat(relay.relayedBoxes(1_000)).isEmpty();
  }

  @Test
  void theSameHeartbeatOverTwoRelaysCountsOnce() {
    DigestEntry entry = new DigestEntry("far", 100, Heartbeats.of("zone-b", 1));
    assertThat(relay.acceptNewer(new Digest(List.of(entry)))).containsExactly(entry);
    nowNanos += 20 * MILLI;
    DigestEntry again = new DigestEntry("far", 110, Heartbeats.of("zone-b", 1));

    assertThat(relay.acceptNewer(new Digest(List.of(again)))).isEmpty();
  }

  @Test
  void anOlderHeartbeatNeverTakesThePlaceOfANewerOne() {
    relay.receive("one", Heartbeats.of("zone-a", 7));

    DigestEntry older = new DigestEntry("one", 500, Heartbeats.of("zone-a", 6));
    assertThat(relay.acceptNewer(new Digest(List.of(older)))).isEmpty();

    assertThat(relay.digestOfAll(OWN).entries())
        .contains(new DigestEntry("one", 0, Heartbeats.of("zone-a", 7)));
  }

  /**
   * Found by reading: what boxes tell each other of a heartbeat is as old as told when it was sent,
   * and seems younger by the time that it takes to arrive. On busy boxes that is more than by which
   * the same heartbeat may differ, so that it was taken for a newer one, and passed on again and
   * again, also by boxes that had lost its sender before. Here it is told again, always as old as
   * at first.
   */
  @Test
  void theLastHeartbeatOfABoxThatHasEndedDoesNotGoRoundForEver() {
    Heartbeat last = Heartbeats.withSequenceNumber("zone-b", 77);
    DigestEntry told = new DigestEntry("gone", 100, last);
    assertThat(relay.acceptNewer(new Digest(List.of(told)))).containsExactly(told);

    for (int times = 0; times < 20; times++) {
      nowNanos += 400 * MILLI;
      assertThat(relay.acceptNewer(new Digest(List.of(told)))).isEmpty();
    }
    relay.removeBox("gone");

    assertThat(relay.acceptNewer(new Digest(List.of(told)))).isEmpty();
    assertThat(relay.digestOfAll(OWN).entries())
        .extracting(DigestEntry::box)
        .containsExactly("self");
  }

  @Test
  void aBoxThatIsBackIsHeardByItsNextHeartbeat() {
    relay.acceptNewer(
        new Digest(
            List.of(new DigestEntry("back", 0, Heartbeats.withSequenceNumber("zone-b", 77)))));
    relay.removeBox("back");
    DigestEntry next = new DigestEntry("back", 0, Heartbeats.withSequenceNumber("zone-b", 78));

    assertThat(relay.acceptNewer(new Digest(List.of(next)))).containsExactly(next);
  }

  /** The time of day of its machine was set back meanwhile. */
  @Test
  void whoIsHeardDirectlyIsThereWhateverItsNumber() {
    relay.receive("back", Heartbeats.withSequenceNumber("zone-b", 77));
    relay.receive("back", Heartbeats.withSequenceNumber("zone-b", 5));
    DigestEntry next = new DigestEntry("back", 0, Heartbeats.withSequenceNumber("zone-b", 6));

    assertThat(relay.acceptNewer(new Digest(List.of(next)))).containsExactly(next);
  }

  /** News that follows a heartbeat within a few milliseconds is not the same heartbeat. */
  @Test
  void theNextHeartbeatIsNewHoweverSoonItComes() {
    relay.acceptNewer(
        new Digest(
            List.of(new DigestEntry("far", 100, Heartbeats.withSequenceNumber("zone-b", 77)))));
    DigestEntry next = new DigestEntry("far", 100, Heartbeats.withSequenceNumber("zone-b", 78));

    assertThat(relay.acceptNewer(new Digest(List.of(next)))).containsExactly(next);
  }

  @Test
  void doesNotTakeItsOwnHeartbeatBack() {
    DigestEntry own = new DigestEntry("self", 0, OWN);

    assertThat(relay.acceptNewer(new Digest(List.of(own)))).isEmpty();
  }

  @Test
  void tellsOtherZonesOfItsFlockAlone() {
    relay.receive("near", Heartbeats.of("zone-a", 1).withRelayRequested());
    relay.acceptNewer(new Digest(List.of(new DigestEntry("far", 0, Heartbeats.of("zone-b", 1)))));

    assertThat(relay.digestOf(Set.of("near"), OWN).entries())
        .extracting(DigestEntry::box)
        .containsExactly("self", "near");
  }
}
