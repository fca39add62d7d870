package org.gradeledge.specification;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ChangeAssertionsTests {

  @Test
  void twoChangesCanBeAcceptedOneAfterTheOther() {
    assertThat(Specification.whole().finds("twoAccepted")).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "oneFromABase",
        "inForce",
        "toldMeansInForce",
        "neverReverts",
        "refusedNeverServed",
        "toldOnce",
        "toldMeansDurable"
      })
  void theAssertionHolds(String assertion) {
    assertThat(Specification.whole().finds(assertion)).isFalse();
  }
}
