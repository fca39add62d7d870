package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.gradeledge.deployment.RouteDefinition;

/**
 * When an attempt that shows no sign of life is given up, so that another upstream can be asked. It
 * looks once the attempt can have been silent for long enough and no sooner: a look ten times a
 * second at each stream was the largest part of the times that a box woke up for nothing.
 *
 * <p>Confined to the event loop.
 */
final class AttemptWatchdog {

  /** Several times the longest pause that engines make between two events of a stream. */
  private static final long STREAM_SILENCE_TIMEOUT_MILLIS = 1_500;

  /** What is silent and cannot be given up now is looked at again after this. */
  private static final long REPEAT_MILLIS = 100;

  /** Of the time that a request has left, so that as much is left for another upstream. */
  private static final double SHARE_OF_REMAINING_TIME = 0.5;

  private final EventLoop loop;
  private final LongSupplier millisUntilSilent;
  private final Runnable onSilent;
  private Future<?> scheduledCheck;
  private boolean stopped;

  /**
   * Starts to look.
   *
   * @param millisUntilSilent how much longer nothing may come; 0 or less once that has passed
   * @param onSilent called again and again while the upstream is not expected to answer any more
   */
  AttemptWatchdog(EventLoop loop, LongSupplier millisUntilSilent, Runnable onSilent) {
    this.loop = loop;
    this.millisUntilSilent = millisUntilSilent;
    this.onSilent = onSilent;
    this.scheduledCheck = scheduleCheck(millisUntilSilent.getAsLong());
  }

  /** Watches an attempt by what the route's answers are expected to be like. */
  static AttemptWatchdog forAttempt(
      RelayServices services,
      RouteDefinition route,
      RequestClock clock,
      Attempt attempt,
      Runnable onSilent) {
    LongSupplier left =
        route.repeatability().streaming()
            ? streamTimeLeft(services, (StreamAttempt) attempt)
            : answerTimeLeft(clock);
    return new AttemptWatchdog(services.eventLoop(), left, onSilent);
  }

  private static LongSupplier streamTimeLeft(RelayServices services, StreamAttempt stream) {
    return () ->
        STREAM_SILENCE_TIMEOUT_MILLIS
            - Math.min(stream.silentMillis(), services.loads().silentMillis(stream.upstream()));
  }

  private static LongSupplier answerTimeLeft(RequestClock clock) {
    long end = clock.elapsedMillis() + (long) (clock.remainingMillis() * SHARE_OF_REMAINING_TIME);
    return () -> end - clock.elapsedMillis();
  }

  /** Stops to look. */
  void stop() {
    stopped = true;
    scheduledCheck.cancel(false);
  }

  private void check() {
    long left = millisUntilSilent.getAsLong();
    if (left <= 0) {
      onSilent.run();
    }
    if (!stopped) {
      scheduledCheck = scheduleCheck(left <= 0 ? REPEAT_MILLIS : left);
    }
  }

  private Future<?> scheduleCheck(long millis) {
    return loop.schedule(this::check, Math.max(1, millis), TimeUnit.MILLISECONDS);
  }
}
