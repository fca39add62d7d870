package org.gradeledge.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.gradeledge.peer.PeerAddress;
import org.junit.jupiter.api.Test;

class UpstreamRecordTests {

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("id", "service", "10.0.0.1", 1, "zone", 2, false);

  @Test
  void recordsWithEqualComponentsAreEqual() {
    assertThat(new UpstreamRecord("id", "service", "10.0.0.1", 1, "zone", 2, false))
        .isEqualTo(UPSTREAM)
        .hasSameHashCodeAs(UPSTREAM);
  }

  @Test
  void recordsThatDifferInAnyComponentAreNotEqual() {
    assertThat(
            List.of(
                new UpstreamRecord("other", "service", "10.0.0.1", 1, "zone", 2, false),
                new UpstreamRecord(
                    "id", 7, "service", "10.0.0.1", 1, "zone", 2, false, 0, Optional.empty()),
                new UpstreamRecord("id", "other", "10.0.0.1", 1, "zone", 2, false),
                new UpstreamRecord("id", "service", "10.0.0.2", 1, "zone", 2, false),
                new UpstreamRecord("id", "service", "10.0.0.1", 2, "zone", 2, false),
                new UpstreamRecord("id", "service", "10.0.0.1", 1, "other", 2, false),
                new UpstreamRecord("id", "service", "10.0.0.1", 1, "zone", 3, false),
                new UpstreamRecord("id", "service", "10.0.0.1", 1, "zone", 2, true)))
        .doesNotContain(UPSTREAM);
  }

  @Test
  void incarnationsWithTheSameIdHaveDistinctIncarnationIds() {
    UpstreamRecord first =
        new UpstreamRecord("id", 7, "s", "10.0.0.1", 1, "z", 2, false, 0, Optional.empty());
    UpstreamRecord second =
        new UpstreamRecord("id", 8, "s", "10.0.0.1", 1, "z", 2, false, 0, Optional.empty());

    assertThat(first.incarnationId()).isNotEqualTo(second.incarnationId());
    assertThat(UPSTREAM.incarnationId()).isEqualTo("id");
  }

  @Test
  void peerAddressesAreEqualIfAllComponentsAreEqual() {
    PeerAddress address = new PeerAddress("box", 1, "10.0.0.1", 1);

    assertThat(new PeerAddress("box", 1, "10.0.0.1", 1))
        .isEqualTo(address)
        .hasSameHashCodeAs(address);
    assertThat(
            List.of(
                new PeerAddress("other", 1, "10.0.0.1", 1),
                new PeerAddress("box", 2, "10.0.0.1", 1),
                new PeerAddress("box", 1, "10.0.0.2", 1),
                new PeerAddress("box", 1, "10.0.0.1", 2)))
        .doesNotContain(address);
  }
}
