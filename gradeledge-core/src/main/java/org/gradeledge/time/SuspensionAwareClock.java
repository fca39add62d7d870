package org.gradeledge.time;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that counts the time for which the machine was suspended. The steady clock of
 * the machine does not: whatever rests on it takes what it knew before for fresh.
 *
 * <p>The time of day and the steady clock go alike, but for two things: the machine was suspended,
 * or the time of day was set. Each look compares both, which costs some nanoseconds. Where they
 * have parted, the boot clock is asked: only if it has gone ahead by as much was it a suspension,
 * and the first look after waking, before any timer has fired, gives the true time. Else the clock
 * goes on as it was, so that no step of the time of day moves a deadline, also where the boot clock
 * that is shown is not the machine's own. Whoever listens hears of both. Thread-safe.
 *
 * @since 0.3
 */
public final class SuspensionAwareClock implements MonotonicClock {

  /** Shorter suspensions are not looked for; no bound that boxes keep is as short as this. */
  static final Duration JUMP_THRESHOLD = Duration.ofMillis(200);

  /**
   * Two jumps are the same if they differ by no more: steps of the time of day below the sign go
   * unnoticed, and the boot clock tells hundredths of a second a moment before it is compared.
   */
  static final Duration JUMP_TOLERANCE = Duration.ofMillis(250);

  private static final SuspensionAwareClock SYSTEM =
      new SuspensionAwareClock(System::nanoTime, System::currentTimeMillis, new UptimeFileClock());

  private final LongSupplier nanoTime;
  private final LongSupplier wallClockMillis;
  private final BootClock bootClock;
  private OptionalLong bootClockOffset;
  private final List<Consumer<ClockJump>> listeners = new CopyOnWriteArrayList<>();
  private volatile long wallClockOffset;
  private volatile long suspendedNanos;

  /**
   * Creates a clock.
   *
   * @param steadyNanos steady clock, which does not count suspended time
   * @param timeOfDayMillis time of day, which does, and may be set
   * @param bootClock judges which of the two it was
   */
  public SuspensionAwareClock(
      LongSupplier steadyNanos, LongSupplier timeOfDayMillis, BootClock bootClock) {
    this.nanoTime = steadyNanos;
    this.wallClockMillis = timeOfDayMillis;
    this.bootClock = bootClock;
    this.bootClockOffset = readBootClockOffset();
    this.wallClockOffset = readWallClockOffset(steadyNanos.getAsLong());
  }

  /** Returns the clock of this machine. */
  public static SuspensionAwareClock systemClock() {
    return SYSTEM;
  }

  /** Tells a listener whenever the clocks have parted, on the thread that notices it. */
  public void onJump(Consumer<ClockJump> listener) {
    listeners.add(listener);
  }

  @Override
  public long nanos() {
    long steady = nanoTime.getAsLong();
    long ahead = readWallClockOffset(steady);
    if (Math.abs(ahead - wallClockOffset) > JUMP_THRESHOLD.toNanos()) {
      handleJump(ahead);
    }
    return steady + suspendedNanos;
  }

  private long readWallClockOffset(long steady) {
    return TimeUnit.MILLISECONDS.toNanos(wallClockMillis.getAsLong()) - steady;
  }

  /** The boot clock is read first, so that a pause between the two is never taken for more. */
  private OptionalLong readBootClockOffset() {
    OptionalLong boot = bootClock.nanos();
    long steady = nanoTime.getAsLong();
    return boot.isPresent() ? OptionalLong.of(boot.getAsLong() - steady) : boot;
  }

  private void handleJump(long ahead) {
    ClockJump jump;
    synchronized (this) {
      long dayJump = ahead - wallClockOffset;
      wallClockOffset = ahead;
      long suspended = suspendedNanosOf(dayJump);
      suspendedNanos += suspended;
      jump = new ClockJump(Duration.ofNanos(dayJump), Duration.ofNanos(suspended));
    }
    listeners.forEach(listener -> listener.accept(jump));
  }

  /** Returns how much of a jump of the time of day was a suspension: all of it, or nothing. */
  private long suspendedNanosOf(long dayJump) {
    OptionalLong before = bootClockOffset;
    bootClockOffset = readBootClockOffset();
    if (before.isEmpty() || bootClockOffset.isEmpty()) {
      return 0;
    }
    long bootJump = bootClockOffset.getAsLong() - before.getAsLong();
    boolean agree = Math.abs(bootJump - dayJump) <= JUMP_TOLERANCE.toNanos();
    return agree ? Math.max(0, bootJump) : 0;
  }
}
