package org.gradeledge.follow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Places in a history that may begin again. */
class TableRevisionTests {

  private static final long MAX_EPOCH = 999_999;
  private static final long MAX_VERSION = 1_000_000_000_000L;

  @Property
  void aLaterEraComesAfterAllVersionsOfTheOneBefore(
      @ForAll @LongRange(max = MAX_EPOCH) long era,
      @ForAll @LongRange(max = MAX_VERSION) long version,
      @ForAll @LongRange(max = MAX_VERSION) long other) {
    assertThat(TableRevision.of(era + 1, version)).isGreaterThan(TableRevision.of(era, other));
  }

  @Property
  void eraAndVersionAreThereAgain(
      @ForAll @LongRange(max = MAX_EPOCH) long era,
      @ForAll @LongRange(max = MAX_VERSION) long version) {
    long revision = TableRevision.of(era, version);

    assertThat(TableRevision.epoch(revision)).isEqualTo(era);
    assertThat(TableRevision.version(revision)).isEqualTo(version);
  }

  @Test
  void withoutErasARevisionIsItsVersion() {
    assertThat(TableRevision.of(0, 17)).isEqualTo(17);
    assertThat(TableRevision.epoch(17)).isZero();
    assertThat(TableRevision.epoch(-1)).isEqualTo(-1);
  }

  @Test
  void whatIsNoPlaceIsRefused() {
    assertThatThrownBy(() -> TableRevision.of(-1, 0)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> TableRevision.of(0, 1L << 41))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
