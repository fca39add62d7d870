package org.gradeledge.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class StageLatenciesTests {

  private long nanos;
  private final StageLatencies times = new StageLatencies(() -> nanos);

  @Test
  void knowsNothingOfTooFewCalls() {
    times.record(Duration.ofMillis(10).toNanos());
    assertThat(times.median()).isZero();
  }

  @Test
  void forgetsOldCalls() {
    record(100, 500);
    record(100, 10);
    assertThat(times.percentile90()).isLessThan(Duration.ofMillis(11));
  }

  @Test
  void anEstimateFadesWhileNothingCompletesSoThatItCannotRefuseForEver() {
    record(10, 900);
    assertThat(times.percentile90()).isGreaterThan(Duration.ofMillis(890));
    nanos += Duration.ofSeconds(2).toNanos();
    assertThat(times.percentile90()).isLessThan(Duration.ofMillis(5));
  }

  @Test
  void aLimitShrinksWhereCallsSlowDownAndGrowsBack() {
    AdaptiveLimit limit = new AdaptiveLimit(200);
    recordAll(limit, 200, 10);
    assertThat(limit.current()).isEqualTo(200);
    recordAll(limit, 1_000, 80);
    assertThat(limit.current()).isLessThan(50);
    recordAll(limit, 4_000, 10);
    assertThat(limit.current()).isEqualTo(200);
  }

  private static void recordAll(AdaptiveLimit limit, int calls, int millis) {
    for (int i = 0; i < calls; i++) {
      limit.record(Duration.ofMillis(millis).toNanos());
    }
  }

  private void record(int calls, int millis) {
    for (int i = 0; i < calls; i++) {
      times.record(Duration.ofMillis(millis).toNanos());
    }
  }
}
