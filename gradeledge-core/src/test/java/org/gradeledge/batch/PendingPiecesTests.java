package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PendingPiecesTests {

  private final PendingPieces toCome = new PendingPieces();

  @Test
  void countsWhatIsAsUrgentOrMoreOfAllBoxes() {
    toCome.add("a", 0, 2);
    toCome.add("a", 2, 5);
    toCome.setPeerCounts("peer", Map.of("a", List.of(1L, 10L)));

    assertThat(toCome.total("a", 0)).isEqualTo(3);
    assertThat(toCome.total("a", 1)).isEqualTo(13);
    assertThat(toCome.total("a", 9)).isEqualTo(18);
    assertThat(toCome.total("b", 9)).isZero();
  }

  @Test
  void whatIsToldEndsWithTheLastPriorityThatHasAny() {
    toCome.add("a", 0, 2);
    toCome.add("a", 2, 5);
    toCome.add("b", 1, 1);
    toCome.remove("b", 1, 1);

    assertThat(toCome.ownCounts()).containsExactly(Map.entry("a", List.of(2L, 0L, 5L)));
  }

  @Test
  void forgetsAPeerThatIsLostAndWhatIsNotToComeAnyMore() {
    toCome.setPeerCounts("peer", Map.of("a", List.of(7L)));
    toCome.add("a", 0, 4);

    toCome.removePeer("peer");
    toCome.remove("a", 0, 4);

    assertThat(toCome.total("a", 3)).isZero();
    assertThat(toCome.ownCounts()).isEmpty();
  }
}
