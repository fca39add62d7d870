package org.gradeledge.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** Runs on a simulated machine, whose clocks are the fields of the test. */
class SuspensionAwareClockTests {

  private static final long NANOS_PER_HUNDREDTH = 10_000_000;

  private long nanoTime = 77_000_000_000L;
  private long wallClockMillis = TimeUnit.DAYS.toMillis(20_000);
  private long bootNanos = 123_456_000_000_000L;
  private boolean bootUnreadable;
  private int bootClockReads;
  private final SuspensionAwareClock clock =
      new SuspensionAwareClock(() -> nanoTime, () -> wallClockMillis, this::readBootClock);
  private final List<ClockJump> jumps = new ArrayList<>();

  SuspensionAwareClockTests() {
    clock.onJump(jumps::add);
  }

  @Test
  void advancesWithoutReadingTheBootClock() {
    long start = clock.nanos();
    int readsBefore = bootClockReads;

    advance(50_000);

    assertThat(clock.nanos() - start).isEqualTo(millis(50_000));
    assertThat(bootClockReads).isEqualTo(readsBefore);
  }

  @Test
  void firstReadingAfterResumeIncludesTheSuspension() {
    long start = clock.nanos();
    advance(100);
    suspend(10_000);

    assertThat(clock.nanos() - start).isEqualTo(millis(10_100));

    advance(100);
    assertThat(clock.nanos() - start).isEqualTo(millis(10_200));
    assertThat(jumps).extracting(ClockJump::suspended).containsExactly(Duration.ofSeconds(10));
  }

  @Test
  void ignoresStepsOfTheWallClock() {
    long start = clock.nanos();
    wallClockMillis += 2_000;
    assertThat(clock.nanos()).isEqualTo(start);
    wallClockMillis -= 5_000;
    assertThat(clock.nanos()).isEqualTo(start);
    assertThat(jumps).extracting(ClockJump::isSuspension).containsExactly(false, false);
    assertThat(jumps).extracting(ClockJump::mayBeSuspension).containsExactly(true, false);
  }

  /**
   * If the boot clock is that of another machine and drifts, steps of the wall clock must not count
   * as suspensions.
   */
  @Test
  void ignoresStepsOfTheWallClockIfTheBootClockDrifts() {
    long start = clock.nanos();
    for (int step = 1; step <= 5; step++) {
      bootNanos += millis(260 * step);
      wallClockMillis += step % 2 == 0 ? -2_000 : 2_000;
      assertThat(clock.nanos()).isEqualTo(start);
    }
    assertThat(jumps).noneMatch(ClockJump::isSuspension);
  }

  /** The clocks jump by different times, so that the suspended time is unknown. */
  @Test
  void reportsAPossibleSuspensionIfTheWallClockIsSetMeanwhile() {
    long start = clock.nanos();
    suspend(4_000);
    wallClockMillis -= 1_500;

    assertThat(clock.nanos()).isEqualTo(start);
    assertThat(jumps).extracting(ClockJump::mayBeSuspension).containsExactly(true);
  }

  @Test
  void ignoresSuspensionsIfTheBootClockIsUnreadable() {
    bootUnreadable = true;
    long start = clock.nanos();

    suspend(4_000);

    assertThat(clock.nanos()).isEqualTo(start);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void neverGoesBackAndStaysNearTheBootClock(@ForAll long seed) {
    SuspensionAwareClockTests machine = new SuspensionAwareClockTests();
    Random random = new Random(seed);
    long start = machine.clock.nanos();
    long bootStart = machine.bootNanos;
    long last = start;
    for (int step = 0; step < 60; step++) {
      switch (random.nextInt(4)) {
        case 0 -> machine.suspend(500 + random.nextInt(20_000));
        case 1 -> machine.wallClockMillis += random.nextInt(8_000) - 4_000;
        default -> machine.advance(random.nextInt(3_000));
      }
      long now = machine.clock.nanos();
      assertThat(now).isGreaterThanOrEqualTo(last);
      last = now;
    }
    long deviation = Math.abs((last - start) - (machine.bootNanos - bootStart));
    long suspensions = machine.jumps.stream().filter(ClockJump::isSuspension).count();
    assertThat(deviation).isLessThanOrEqualTo(millis(20) * suspensions);
  }

  @Test
  void parsesTheFirstNumberOfTheFile() {
    assertThat(UptimeFileClock.parse("1301.08 6510.28\n")).hasValue(1_301_080_000_000L);
    assertThat(UptimeFileClock.parse("0.05 0.00\n")).hasValue(50_000_000L);
    for (String invalid : List.of("", "x", "1301", "13.1 2", "-1.00 2", "1e3.00 1", "1.00.00 2")) {
      assertThat(UptimeFileClock.parse(invalid)).as(invalid).isEmpty();
    }
    assertThat(new UptimeFileClock("/nowhere").nanos()).isEmpty();
  }

  private OptionalLong readBootClock() {
    bootClockReads++;
    return bootUnreadable
        ? OptionalLong.empty()
        : OptionalLong.of(bootNanos / NANOS_PER_HUNDREDTH * NANOS_PER_HUNDREDTH);
  }

  private void advance(long millis) {
    nanoTime += millis(millis);
    wallClockMillis += millis;
    bootNanos += millis(millis);
  }

  private void suspend(long millis) {
    wallClockMillis += millis;
    bootNanos += millis(millis);
  }

  private static long millis(long count) {
    return TimeUnit.MILLISECONDS.toNanos(count);
  }
}
