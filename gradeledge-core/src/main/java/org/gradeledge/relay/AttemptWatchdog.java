package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects attempts whose upstream is silent for long. Checks only when the silence timeout can have
 * elapsed.
 *
 * <p>Confined to the event loop.
 */
final class AttemptWatchdog {

  /** Longer than most pauses between the events of a stream. */
  private static final long STREAM_SILENCE_MILLIS = 1_500;

  /** Interval of repeated reports while the upstream stays silent. */
  private static final long REPEAT_MILLIS = 100;

  /** Share of the remaining time that an attempt may use; the rest is left for a retry. */
  private static final double SHARE_OF_REMAINING_TIME = 0.5;

  private final EventLoop loop;
  private final LongSupplier millisUntilSilent;
  private final Runnable onSilent;
  private Future<?> scheduledCheck;
  private boolean stopped;

  /**
   * Starts the watchdog.
   *
   * @param millisUntilSilent returns the time left until the attempt counts as silent; 0 or less
   *     once it does
   * @param onSilent called repeatedly while the attempt is silent
   */
  AttemptWatchdog(EventLoop loop, LongSupplier millisUntilSilent, Runnable onSilent) {
    this.loop = loop;
    this.millisUntilSilent = millisUntilSilent;
    this.onSilent = onSilent;
    this.scheduledCheck = scheduleCheck(millisUntilSilent.getAsLong());
  }

  /** Creates a watchdog for an attempt whose answer is a stream. */
  static AttemptWatchdog forStream(EventLoop loop, StreamAttempt stream, Runnable onSilent) {
    LongSupplier millisLeft = () -> STREAM_SILENCE_MILLIS - stream.silentMillis();
    return new AttemptWatchdog(loop, millisLeft, onSilent);
  }

  /** Creates a watchdog for an attempt whose answer is forwarded once it is complete. */
  static AttemptWatchdog forWholeAnswer(EventLoop loop, RequestClock clock, Runnable onSilent) {
    long deadlineMillis =
        clock.elapsedMillis() + (long) (clock.remainingMillis() * SHARE_OF_REMAINING_TIME);
    return new AttemptWatchdog(loop, () -> deadlineMillis - clock.elapsedMillis(), onSilent);
  }

  void stop() {
    stopped = true;
    scheduledCheck.cancel(false);
  }

  private void check() {
    long millisLeft = millisUntilSilent.getAsLong();
    if (millisLeft <= 0) {
      onSilent.run();
    }
    if (!stopped) {
      scheduledCheck = scheduleCheck(millisLeft <= 0 ? REPEAT_MILLIS : millisLeft);
    }
  }

  private Future<?> scheduleCheck(long millis) {
    return loop.schedule(this::check, Math.max(1, millis), TimeUnit.MILLISECONDS);
  }
}
