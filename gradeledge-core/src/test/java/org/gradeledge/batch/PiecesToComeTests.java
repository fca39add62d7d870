package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PiecesToComeTests {

  private final PiecesToCome toCome = new PiecesToCome();

  @Test
  void countsWhatIsAsUrgentOrMoreOfAllBoxes() {
    toCome.add("a", 0, 2);
    toCome.add("a", 2, 5);
    toCome.told("peer", Map.of("a", List.of(1L, 10L)));

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

    assertThat(toCome.own()).containsExactly(Map.entry("a", List.of(2L, 0L, 5L)));
  }

  @Test
  void forgetsAPeerThatIsLostAndWhatIsNotToComeAnyMore() {
    toCome.told("peer", Map.of("a", List.of(7L)));
    toCome.add("a", 0, 4);

    toCome.forget("peer");
    toCome.remove("a", 0, 4);

    assertThat(toCome.total("a", 3)).isZero();
    assertThat(toCome.own()).isEmpty();
  }
}
