package org.gradeledge.time;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that includes the time for which the machine was suspended, which {@link
 * System#nanoTime} does not.
 *
 * <p>Each reading compares the wall clock with {@code System.nanoTime}. If the wall clock has
 * jumped, the machine was suspended or the wall clock was set. It counts as a suspension only if
 * the boot clock has jumped by about as much; the clock is then advanced by that time. Otherwise
 * the clock is not changed, so that setting the wall clock never moves a deadline. Listeners are
 * notified in both cases. Thread-safe.
 *
 * @since 0.3
 */
public final class SuspensionAwareClock implements MonotonicClock {

  /** Smaller jumps are ignored; no time limit between boxes is as short as this. */
  static final Duration JUMP_THRESHOLD = Duration.ofMillis(200);

  /**
   * Largest difference of jumps that count as equal. Exceeds the threshold, below which steps of
   * the wall clock are ignored, by the resolution of the boot clock and the time of its reading.
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
   * @param nanoTime monotonic clock that stops while the machine is suspended
   * @param wallClockMillis wall clock, which also advances during a suspension, but may be set
   * @param bootClock distinguishes suspensions from settings of the wall clock
   */
  public SuspensionAwareClock(
      LongSupplier nanoTime, LongSupplier wallClockMillis, BootClock bootClock) {
    this.nanoTime = nanoTime;
    this.wallClockMillis = wallClockMillis;
    this.bootClock = bootClock;
    this.bootClockOffset = readBootClockOffset();
    this.wallClockOffset = readWallClockOffset(nanoTime.getAsLong());
  }

  /** Returns the clock of this machine. */
  public static SuspensionAwareClock systemClock() {
    return SYSTEM;
  }

  /** Adds a listener of jumps, which is called on the thread that detects the jump. */
  public void onJump(Consumer<ClockJump> listener) {
    listeners.add(listener);
  }

  @Override
  public long nanos() {
    long monotonic = nanoTime.getAsLong();
    long newOffset = readWallClockOffset(monotonic);
    if (Math.abs(newOffset - wallClockOffset) > JUMP_THRESHOLD.toNanos()) {
      handleJump(newOffset);
    }
    return monotonic + suspendedNanos;
  }

  private long readWallClockOffset(long monotonic) {
    return TimeUnit.MILLISECONDS.toNanos(wallClockMillis.getAsLong()) - monotonic;
  }

  /** Reads the boot clock first, so that a pause in between never increases the offset. */
  private OptionalLong readBootClockOffset() {
    OptionalLong boot = bootClock.nanos();
    long monotonic = nanoTime.getAsLong();
    return boot.isPresent() ? OptionalLong.of(boot.getAsLong() - monotonic) : boot;
  }

  private void handleJump(long newOffset) {
    ClockJump jump;
    synchronized (this) {
      long wallClockJump = newOffset - wallClockOffset;
      wallClockOffset = newOffset;
      long suspended = suspendedNanosOf(wallClockJump);
      suspendedNanos += suspended;
      jump = new ClockJump(Duration.ofNanos(wallClockJump), Duration.ofNanos(suspended));
    }
    listeners.forEach(listener -> listener.accept(jump));
  }

  /** Returns the suspended time if the boot clock confirms the jump of the wall clock, or zero. */
  private long suspendedNanosOf(long wallClockJump) {
    OptionalLong previousOffset = bootClockOffset;
    bootClockOffset = readBootClockOffset();
    if (previousOffset.isEmpty() || bootClockOffset.isEmpty()) {
      return 0;
    }
    long bootClockJump = bootClockOffset.getAsLong() - previousOffset.getAsLong();
    boolean agree = Math.abs(bootClockJump - wallClockJump) <= JUMP_TOLERANCE.toNanos();
    return agree ? Math.max(0, bootClockJump) : 0;
  }
}
