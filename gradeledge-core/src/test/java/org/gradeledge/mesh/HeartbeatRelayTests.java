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
  void digestContainsReceivedHeartbeatsWithTheirAge() {
    relay.receive("one", Heartbeats.of("zone-a", 3));
    nowNanos += 250 * MILLI;

    assertThat(relay.digestOfAll(OWN).entries())
        .containsExactly(
            new DigestEntry("self", 0, OWN),
            new DigestEntry("one", 250, Heartbeats.of("zone-a", 3)));
  }

  @Test
  void relaysOnlyForBoxesThatRequestedItRecently() {
    relay.receive("requesting", Heartbeats.of("zone-a", 1).withRelayRequested());
    relay.receive("other", Heartbeats.of("zone-a", 1));
    assertThat(relay.relayedBoxes(1_000)).containsExactly("requesting");

    nowNanos += 1_001 * MILLI;

    assertThat(relay.relayedBoxes(1_000)).isEmpty();
  }

  @Test
  void ignoresASecondCopyOfAHeartbeat() {
    DigestEntry entry = new DigestEntry("far", 100, Heartbeats.of("zone-b", 1));
    assertThat(relay.acceptNewer(new Digest(List.of(entry)))).containsExactly(entry);
    nowNanos += 20 * MILLI;
    DigestEntry again = new DigestEntry("far", 110, Heartbeats.of("zone-b", 1));

    assertThat(relay.acceptNewer(new Digest(List.of(again)))).isEmpty();
  }

  @Test
  void olderHeartbeatNeverReplacesANewerOne() {
    relay.receive("one", Heartbeats.of("zone-a", 7));

    DigestEntry older = new DigestEntry("one", 500, Heartbeats.of("zone-a", 6));
    assertThat(relay.acceptNewer(new Digest(List.of(older)))).isEmpty();

    assertThat(relay.digestOfAll(OWN).entries())
        .contains(new DigestEntry("one", 0, Heartbeats.of("zone-a", 7)));
  }

  /**
   * Guards against heartbeats of a lost box that circulate among relays forever, because they look
   * newer each time by their transmission time.
   */
  @Test
  void lastHeartbeatOfALostBoxIsNotAcceptedAgain() {
    Heartbeat last = Heartbeats.withSequenceNumber("zone-b", 77);
    DigestEntry entry = new DigestEntry("gone", 100, last);
    assertThat(relay.acceptNewer(new Digest(List.of(entry)))).containsExactly(entry);

    for (int attempt = 0; attempt < 20; attempt++) {
      nowNanos += 400 * MILLI;
      assertThat(relay.acceptNewer(new Digest(List.of(entry)))).isEmpty();
    }
    relay.removeBox("gone");

    assertThat(relay.acceptNewer(new Digest(List.of(entry)))).isEmpty();
    assertThat(relay.digestOfAll(OWN).entries())
        .extracting(DigestEntry::box)
        .containsExactly("self");
  }

  @Test
  void acceptsTheNextHeartbeatOfARestartedBox() {
    relay.acceptNewer(
        new Digest(
            List.of(new DigestEntry("back", 0, Heartbeats.withSequenceNumber("zone-b", 77)))));
    relay.removeBox("back");
    DigestEntry next = new DigestEntry("back", 0, Heartbeats.withSequenceNumber("zone-b", 78));

    assertThat(relay.acceptNewer(new Digest(List.of(next)))).containsExactly(next);
  }

  /** The time of day of the machine was set back. */
  @Test
  void acceptsDirectHeartbeatsWithLowerSequenceNumbers() {
    relay.receive("back", Heartbeats.withSequenceNumber("zone-b", 77));
    relay.receive("back", Heartbeats.withSequenceNumber("zone-b", 5));
    DigestEntry next = new DigestEntry("back", 0, Heartbeats.withSequenceNumber("zone-b", 6));

    assertThat(relay.acceptNewer(new Digest(List.of(next)))).containsExactly(next);
  }

  /** Guards against dropping an update that follows a heartbeat within a few milliseconds. */
  @Test
  void acceptsTheNextHeartbeatEvenWithTheSameAge() {
    relay.acceptNewer(
        new Digest(
            List.of(new DigestEntry("far", 100, Heartbeats.withSequenceNumber("zone-b", 77)))));
    DigestEntry next = new DigestEntry("far", 100, Heartbeats.withSequenceNumber("zone-b", 78));

    assertThat(relay.acceptNewer(new Digest(List.of(next)))).containsExactly(next);
  }

  @Test
  void ignoresItsOwnHeartbeatInADigest() {
    DigestEntry own = new DigestEntry("self", 0, OWN);

    assertThat(relay.acceptNewer(new Digest(List.of(own)))).isEmpty();
  }

  @Test
  void digestOfContainsOnlyTheGivenBoxesAndItself() {
    relay.receive("near", Heartbeats.of("zone-a", 1).withRelayRequested());
    relay.acceptNewer(new Digest(List.of(new DigestEntry("far", 0, Heartbeats.of("zone-b", 1)))));

    assertThat(relay.digestOf(Set.of("near"), OWN).entries())
        .extracting(DigestEntry::box)
        .containsExactly("self", "near");
  }
}
