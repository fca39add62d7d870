package org.gradeledge.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class StreamOriginsTests {

  private static final long FIRST = 7;
  private static final long SECOND = -8;

  private long nowMillis = 1_000;
  private final StreamOrigins origins =
      new StreamOrigins(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis));

  @Test
  void keepsRecordUntilItsRetentionEnds() {
    origins.add(new OriginRecord(1, FIRST, 100));

    nowMillis += 99;
    assertThat(origins.find(1)).containsExactly(FIRST);
    assertThat(origins.all()).containsExactly(new OriginRecord(1, FIRST, 1));
    nowMillis += 1;
    assertThat(origins.find(1)).isEmpty();
    assertThat(origins.all()).isEmpty();
  }

  // Guards against forgetting a stream that was resumed because of the record of its start.
  @Test
  void laterRecordOnlyExtendsRetention() {
    origins.add(new OriginRecord(1, FIRST, 1_000));
    origins.add(new OriginRecord(1, FIRST, 10));
    nowMillis += 999;
    assertThat(origins.find(1)).containsExactly(FIRST);

    origins.add(new OriginRecord(1, FIRST, 500));
    nowMillis += 499;
    assertThat(origins.find(1)).containsExactly(FIRST);
  }

  // Guards against choosing one of two origins that contradict each other.
  @Test
  void keepsContradictoryRecords() {
    origins.add(new OriginRecord(1, FIRST, 1_000));
    origins.add(new OriginRecord(1, SECOND, 1_000));

    assertThat(origins.find(1)).containsExactlyInAnyOrder(FIRST, SECOND);
    assertThat(OriginLookup.of(OriginLookup.Outcome.OWN_RECORD, origins.find(1)).originHash())
        .isEmpty();
  }

  @Test
  void expiredRecordDoesNotContradictLaterOne() {
    origins.add(new OriginRecord(1, FIRST, 10));
    nowMillis += 10;
    origins.add(new OriginRecord(1, SECOND, 10));

    assertThat(origins.find(1)).containsExactly(SECOND);
  }

  @Test
  void evictsOldestRecordsBeyondLimit() {
    IntStream.rangeClosed(0, StreamOrigins.MAX_ENTRIES)
        .forEach(number -> origins.add(new OriginRecord(number, FIRST, 1_000)));

    assertThat(origins.size()).isEqualTo(StreamOrigins.MAX_ENTRIES);
    assertThat(origins.find(0)).isEmpty();
    assertThat(origins.find(1)).containsExactly(FIRST);
    assertThat(origins.evictedCount()).isEqualTo(1);
  }

  @Test
  void removesExpiredRecords() {
    origins.add(new OriginRecord(1, FIRST, 10));
    nowMillis += 10;
    origins.add(new OriginRecord(2, FIRST, 10));

    assertThat(origins.size()).isEqualTo(1);
    assertThat(origins.evictedCount()).isZero();
  }

  // Guards against records that a caller's deadline keeps for ever.
  @Test
  void limitsRetention() {
    origins.add(new OriginRecord(1, FIRST, Long.MAX_VALUE));
    origins.add(new OriginRecord(2, FIRST, -1));

    assertThat(origins.find(2)).isEmpty();
    nowMillis += StreamOrigins.MAX_RETENTION_MILLIS;
    assertThat(origins.find(1)).isEmpty();
  }
}
