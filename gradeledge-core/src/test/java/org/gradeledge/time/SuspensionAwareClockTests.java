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

/** A machine whose clocks are set by hand. */
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
  void goesOnWithTheSteadyClockWithoutALookAtTheBootClock() {
    long start = clock.nanos();
    int looks = bootClockReads;

    pass(50_000);

    assertThat(clock.nanos() - start).isEqualTo(millis(50_000));
    assertThat(bootClockReads).isEqualTo(looks);
  }

  @Test
  void theFirstLookAfterWakingCountsTheSuspension() {
    long start = clock.nanos();
    pass(100);
    suspend(10_000);

    assertThat(clock.nanos() - start).isEqualTo(millis(10_100));

    pass(100);
    assertThat(clock.nanos() - start).isEqualTo(millis(10_200));
    assertThat(jumps).extracting(ClockJump::suspended).containsExactly(Duration.ofSeconds(10));
  }

  @Test
  void aStepOfTheTimeOfDayMovesNothing() {
    long start = clock.nanos();
    wallClockMillis += 2_000;
    assertThat(clock.nanos()).isEqualTo(start);
    wallClockMillis -= 5_000;
    assertThat(clock.nanos()).isEqualTo(start);
    assertThat(jumps).extracting(ClockJump::isSuspension).containsExactly(false, false);
    assertThat(jumps).extracting(ClockJump::mayBeSuspension).containsExactly(true, false);
  }

  /**
   * Seen where the boot clock that is shown is another machine's: each step of the time of day was
   * taken for a suspension of as much as the two clocks had parted until then.
   */
  @Test
  void aBootClockThatGoesItsOwnWayMakesNoSuspensionOfAStep() {
    long start = clock.nanos();
    for (int step = 1; step <= 5; step++) {
      bootNanos += millis(260 * step);
      wallClockMillis += step % 2 == 0 ? -2_000 : 2_000;
      assertThat(clock.nanos()).isEqualTo(start);
    }
    assertThat(jumps).noneMatch(ClockJump::isSuspension);
  }

  /** What is known may be old then, but no deadline moves by a figure that two clocks deny. */
  @Test
  void aSuspensionDuringWhichTheTimeOfDayIsSetIsToldAsOneThatMayBe() {
    long start = clock.nanos();
    suspend(4_000);
    wallClockMillis -= 1_500;

    assertThat(clock.nanos()).isEqualTo(start);
    assertThat(jumps).extracting(ClockJump::mayBeSuspension).containsExactly(true);
  }

  @Test
  void whereTheBootClockCannotBeReadNothingIsTakenForASuspension() {
    bootUnreadable = true;
    long start = clock.nanos();

    suspend(4_000);

    assertThat(clock.nanos()).isEqualTo(start);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void whateverHappensItNeverGoesBackAndIsNearTheTrueTime(@ForAll long seed) {
    SuspensionAwareClockTests machine = new SuspensionAwareClockTests();
    Random random = new Random(seed);
    long start = machine.clock.nanos();
    long bootStart = machine.bootNanos;
    long last = start;
    for (int step = 0; step < 60; step++) {
      switch (random.nextInt(4)) {
        case 0 -> machine.suspend(500 + random.nextInt(20_000));
        case 1 -> machine.wallClockMillis += random.nextInt(8_000) - 4_000;
        default -> machine.pass(random.nextInt(3_000));
      }
      long now = machine.clock.nanos();
      assertThat(now).isGreaterThanOrEqualTo(last);
      last = now;
    }
    long off = Math.abs((last - start) - (machine.bootNanos - bootStart));
    long suspensions = machine.jumps.stream().filter(ClockJump::isSuspension).count();
    assertThat(off).isLessThanOrEqualTo(millis(20) * suspensions);
  }

  @Test
  void readsTheFirstFigureOfTheFile() {
    assertThat(UptimeFileClock.parse("1301.08 6510.28\n")).hasValue(1_301_080_000_000L);
    assertThat(UptimeFileClock.parse("0.05 0.00\n")).hasValue(50_000_000L);
    for (String other : List.of("", "x", "1301", "13.1 2", "-1.00 2", "1e3.00 1", "1.00.00 2")) {
      assertThat(UptimeFileClock.parse(other)).as(other).isEmpty();
    }
    assertThat(new UptimeFileClock("/nowhere").nanos()).isEmpty();
  }

  private OptionalLong readBootClock() {
    bootClockReads++;
    return bootUnreadable
        ? OptionalLong.empty()
        : OptionalLong.of(bootNanos / NANOS_PER_HUNDREDTH * NANOS_PER_HUNDREDTH);
  }

  private void pass(long millis) {
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
