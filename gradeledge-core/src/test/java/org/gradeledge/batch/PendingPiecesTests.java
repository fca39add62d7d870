package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PendingPiecesTests {

  private final PendingPieces pendingPieces = new PendingPieces();

  @Test
  void totalsThePriorityAndMoreUrgentOnesOfAllBoxes() {
    pendingPieces.add("a", 0, 2);
    pendingPieces.add("a", 2, 5);
    pendingPieces.setPeerCounts("peer", Map.of("a", List.of(1L, 10L)));

    assertThat(pendingPieces.total("a", 0)).isEqualTo(3);
    assertThat(pendingPieces.total("a", 1)).isEqualTo(13);
    assertThat(pendingPieces.total("a", 9)).isEqualTo(18);
    assertThat(pendingPieces.total("b", 9)).isZero();
  }

  @Test
  void ownCountsOmitTrailingZeros() {
    pendingPieces.add("a", 0, 2);
    pendingPieces.add("a", 2, 5);
    pendingPieces.add("b", 1, 1);
    pendingPieces.remove("b", 1, 1);

    assertThat(pendingPieces.ownCounts()).containsExactly(Map.entry("a", List.of(2L, 0L, 5L)));
  }

  @Test
  void excludesRemovedPeersAndRemovedPieces() {
    pendingPieces.setPeerCounts("peer", Map.of("a", List.of(7L)));
    pendingPieces.add("a", 0, 4);

    pendingPieces.removePeer("peer");
    pendingPieces.remove("a", 0, 4);

    assertThat(pendingPieces.total("a", 3)).isZero();
    assertThat(pendingPieces.ownCounts()).isEmpty();
  }
}
