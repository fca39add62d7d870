package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SoakStreamChecksTests {

  private static final SoakStream.Attempt BEGUN = new SoakStream.Attempt(false, true, true);
  private static final SoakStream.Attempt RESUMED = new SoakStream.Attempt(true, true, true);
  private static final SoakStream.Attempt REFUSED = new SoakStream.Attempt(true, true, false);
  private static final SoakStream.Attempt UNCOUNTED = new SoakStream.Attempt(true, false, false);

  @Test
  void findsStreamOfTwoVersions() {
    SoakStream mixed = new SoakStream(Set.of("v1", "v2"), List.of(BEGUN, RESUMED), false);
    SoakStream sound = new SoakStream(Set.of("v1"), List.of(BEGUN, RESUMED), false);

    assertThat(SoakStreamChecks.checkVersions(List.of(sound, mixed))).hasSize(1);
  }

  @Test
  void findsResumptionsThatAreRefused() {
    assertThat(SoakStreamChecks.checkResumptions(Collections.nCopies(12, stream(REFUSED))))
        .hasSize(1);
    assertThat(SoakStreamChecks.checkResumptions(Collections.nCopies(11, stream(REFUSED))))
        .isEmpty();
    assertThat(SoakStreamChecks.checkResumptions(Collections.nCopies(12, stream(UNCOUNTED))))
        .isEmpty();
    assertThat(SoakStreamChecks.checkResumptions(Collections.nCopies(12, stream(RESUMED))))
        .isEmpty();
  }

  @Test
  void findsStreamThatEndedInOrderBeforeItsLastEvent() {
    SoakStream ended = new SoakStream(Set.of("v1"), List.of(BEGUN, RESUMED), true);

    assertThat(SoakStreamChecks.checkComplete(List.of(stream(RESUMED), ended))).hasSize(1);
  }

  private static SoakStream stream(SoakStream.Attempt resumption) {
    return new SoakStream(Set.of("v1"), List.of(BEGUN, resumption), false);
  }
}
