package org.gradeledge.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class UrgencyTests {

  @Test
  void routePriorityDecidesBetweenEqualAccounts() {
    assertThat(rank(1, 0)).isLessThan(rank(1, 1));
    assertThat(rank(1, 1)).isLessThan(rank(1, 2));
  }

  @Test
  void accountPriorityPrecedesRoutePriority() {
    assertThat(rank(0, 2)).isLessThan(rank(1, 0));
  }

  @Test
  void routePriorityDecidesWithoutAccount() {
    assertThat(Urgency.of(Optional.empty(), 0).rank())
        .isLessThan(Urgency.of(Optional.empty(), 1).rank());
  }

  @Property
  void rankIsWithinLevels(@ForAll Optional<Integer> account, @ForAll int route) {
    assertThat(Urgency.of(account, route).rank()).isBetween(0, Urgency.LEVELS - 1);
  }

  @Property
  void rankIsMonotonicInRoutePriority(
      @ForAll @IntRange(max = 5) int account, @ForAll @IntRange(max = 5) int route) {
    assertThat(rank(account, route)).isLessThanOrEqualTo(rank(account, route + 1));
  }

  private static int rank(int account, int route) {
    return Urgency.of(Optional.of(account), route).rank();
  }
}
