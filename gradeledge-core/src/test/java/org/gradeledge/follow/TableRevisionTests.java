package org.gradeledge.follow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class TableRevisionTests {

  private static final long MAX_EPOCH = 999_999;
  private static final long MAX_VERSION = 1_000_000_000_000L;

  @Property
  void ordersByEpochBeforeVersion(
      @ForAll @LongRange(max = MAX_EPOCH) long epoch,
      @ForAll @LongRange(max = MAX_VERSION) long version,
      @ForAll @LongRange(max = MAX_VERSION) long otherVersion) {
    assertThat(TableRevision.of(epoch + 1, version))
        .isGreaterThan(TableRevision.of(epoch, otherVersion));
  }

  @Property
  void returnsItsEpochAndVersion(
      @ForAll @LongRange(max = MAX_EPOCH) long epoch,
      @ForAll @LongRange(max = MAX_VERSION) long version) {
    long revision = TableRevision.of(epoch, version);

    assertThat(TableRevision.epoch(revision)).isEqualTo(epoch);
    assertThat(TableRevision.version(revision)).isEqualTo(version);
  }

  @Test
  void equalsItsVersionInEpochZero() {
    assertThat(TableRevision.of(0, 17)).isEqualTo(17);
    assertThat(TableRevision.epoch(17)).isZero();
    assertThat(TableRevision.epoch(-1)).isEqualTo(-1);
  }

  @Test
  void rejectsEpochsAndVersionsOutOfRange() {
    assertThatThrownBy(() -> TableRevision.of(-1, 0)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> TableRevision.of(0, 1L << 41))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
