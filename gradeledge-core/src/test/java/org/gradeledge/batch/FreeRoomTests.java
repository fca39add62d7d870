package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import org.junit.jupiter.api.Test;

class FreeRoomTests {

  @Test
  void nothingIsMissingWhereTheUnitsAreTooCoarseToTell() {
    assertThat(new FreeRoom(0, 1_000_000).missingOf(404_000)).isZero();
    assertThat(new FreeRoom(13_000_000, 14_000_000).missingOf(13_500_000)).isZero();
  }

  @Test
  void whatShouldBeFreeAndCannotBeIsMissing() {
    assertThat(new FreeRoom(2_000_000, 3_000_000).missingOf(13_500_000)).isEqualTo(11_000_000);
    assertThat(new FreeRoom(700, 700).missingOf(1_000)).isEqualTo(300);
  }

  @Test
  void roomBelowNothingIsRefused() {
    assertThatIllegalArgumentException().isThrownBy(() -> new FreeRoom(-1, 0));
    assertThatIllegalArgumentException().isThrownBy(() -> new FreeRoom(2, 1));
  }
}
