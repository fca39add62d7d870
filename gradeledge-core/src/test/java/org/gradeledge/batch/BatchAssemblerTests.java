package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class BatchAssemblerTests {

  private static final long RESULT = 100;

  @Test
  void aGroupThatDoesNotFitBehindAMoreUrgentOneWaitsForACallThatTakesItWhole() {
    WaitingPieces waiting = waiting(List.of(5, 3, 2));

    List<StagePiece> taken = waiting.takeBatch(7, 100 * RESULT, group -> true);

    assertThat(requests(taken)).containsExactly("r0", "r0", "r0", "r0", "r0", "r2", "r2");
    assertThat(waiting.size()).isEqualTo(3);
  }

  @Test
  void theMostUrgentGroupGoesInPartsWhereItDoesNotFit() {
    WaitingPieces waiting = waiting(List.of(5, 1));

    assertThat(requests(waiting.takeBatch(7, 3 * RESULT, group -> true)))
        .containsExactly("r0", "r0", "r0");
    assertThat(requests(waiting.takeBatch(7, 2 * RESULT, group -> true)))
        .containsExactly("r0", "r0");
    assertThat(requests(waiting.takeBatch(7, 2 * RESULT, group -> true))).containsExactly("r1");
  }

  @Test
  void aGroupThatWasBegunGoesOnInParts() {
    WaitingPieces waiting = waiting(List.of(1, 4));
    waiting.takeBatch(2, 100 * RESULT, group -> group.group().requestId().equals("r1"));

    assertThat(requests(waiting.takeBatch(2, 100 * RESULT, group -> true)))
        .containsExactly("r0", "r1");
  }

  @Property
  void noPieceIsLostOrTakenTwiceAndNoBoundIsPassed(
      @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 9) Integer> groups,
      @ForAll @IntRange(min = 1, max = 10) int most,
      @ForAll @IntRange(min = 1, max = 10) int room) {
    WaitingPieces waiting = waiting(groups);
    List<StagePiece> all = new ArrayList<>();
    while (!waiting.isEmpty()) {
      List<StagePiece> taken = waiting.takeBatch(most, room * RESULT, group -> true);
      assertThat(taken).isNotEmpty().hasSizeLessThanOrEqualTo(Math.min(most, room));
      all.addAll(taken);
    }
    assertThat(all).hasSize(groups.stream().mapToInt(Integer::intValue).sum());
    assertThat(new HashSet<>(all)).hasSameSizeAs(all);
  }

  private static WaitingPieces waiting(List<Integer> sizes) {
    WaitingPieces waiting = new WaitingPieces();
    for (int i = 0; i < sizes.size(); i++) {
      waiting.add(group("r" + i, sizes.get(i)));
    }
    return waiting;
  }

  private static GroupInProgress group(String request, int pieces) {
    return new GroupInProgress(
        StageGroups.large(request, pieces, RESULT), "", "box", 0, result -> {});
  }

  private static List<String> requests(List<StagePiece> pieces) {
    return pieces.stream().map(piece -> piece.group().group().requestId()).toList();
  }
}
