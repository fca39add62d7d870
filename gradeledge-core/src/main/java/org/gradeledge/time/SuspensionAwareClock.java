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
 * or the time of day was set. Each look compares both, which costs some nanoseconds; where they
 * have parted, the boot clock tells which it was. So a step of the time of day moves nothing, and
 * the first look after waking, before any timer has fired, gives the true time. Thread-safe.
 *
 * @since 0.3
 */
public final class SuspensionAwareClock implements MonotonicClock {

  /** Shorter suspensions are not looked for; no bound that boxes keep is as short as this. */
  static final Duration SIGN = Duration.ofMillis(200);

  /** The boot clock tells hundredths of a second, and is read a moment before the steady one. */
  static final Duration LEAST = Duration.ofMillis(100);

  private static final SuspensionAwareClock MACHINE =
      new SuspensionAwareClock(System::nanoTime, System::currentTimeMillis, new UptimeFile());

  private final LongSupplier steadyNanos;
  private final LongSupplier timeOfDayMillis;
  private final BootClock bootClock;
  private final OptionalLong bootAhead;
  private final List<Consumer<Duration>> listeners = new CopyOnWriteArrayList<>();
  private volatile long dayAhead;
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
    this.steadyNanos = steadyNanos;
    this.timeOfDayMillis = timeOfDayMillis;
    this.bootClock = bootClock;
    this.bootAhead = bootAhead();
    this.dayAhead = dayAhead(steadyNanos.getAsLong());
  }

  /** Returns the clock of this machine. */
  public static SuspensionAwareClock ofMachine() {
    return MACHINE;
  }

  /** Tells a listener for how long the machine was suspended, on the thread that notices it. */
  public void onSuspended(Consumer<Duration> listener) {
    listeners.add(listener);
  }

  @Override
  public long nanos() {
    long steady = steadyNanos.getAsLong();
    long ahead = dayAhead(steady);
    if (Math.abs(ahead - dayAhead) > SIGN.toNanos()) {
      parted(ahead);
    }
    return steady + suspendedNanos;
  }

  private long dayAhead(long steady) {
    return TimeUnit.MILLISECONDS.toNanos(timeOfDayMillis.getAsLong()) - steady;
  }

  /** The boot clock is read first, so that a pause between the two is never taken for more. */
  private OptionalLong bootAhead() {
    OptionalLong boot = bootClock.nanos();
    long steady = steadyNanos.getAsLong();
    return boot.isPresent() ? OptionalLong.of(boot.getAsLong() - steady) : boot;
  }

  private void parted(long ahead) {
    long more = 0;
    synchronized (this) {
      dayAhead = ahead;
      OptionalLong now = bootAhead();
      if (bootAhead.isPresent() && now.isPresent()) {
        long found = now.getAsLong() - bootAhead.getAsLong() - suspendedNanos;
        more = found > LEAST.toNanos() ? found : 0;
        suspendedNanos += more;
      }
    }
    if (more > 0) {
      Duration suspended = Duration.ofNanos(more);
      listeners.forEach(listener -> listener.accept(suspended));
    }
  }
}
