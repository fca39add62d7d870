package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.gradeledge.deployment.RouteDefinition;

/**
 * Detects attempts whose upstream is silent for too long, so that the request can be retried at
 * another upstream. Checks only when the silence timeout can have elapsed.
 *
 * <p>Confined to the event loop.
 */
final class AttemptWatchdog {

  /** Longer than the pauses between the events of a healthy stream. */
  private static final long STREAM_SILENCE_TIMEOUT_MILLIS = 1_500;

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

  /** Creates a watchdog for an attempt with the timeout that suits the route's type of answer. */
  static AttemptWatchdog forAttempt(
      RelayServices services,
      RouteDefinition route,
      RequestClock clock,
      Attempt attempt,
      Runnable onSilent) {
    LongSupplier millisLeft =
        route.repeatability().streaming()
            ? streamTimeLeft(services, (StreamAttempt) attempt)
            : answerTimeLeft(clock);
    return new AttemptWatchdog(services.eventLoop(), millisLeft, onSilent);
  }

  private static LongSupplier streamTimeLeft(RelayServices services, StreamAttempt stream) {
    return () ->
        STREAM_SILENCE_TIMEOUT_MILLIS
            - Math.min(stream.silentMillis(), services.loads().silentMillis(stream.upstream()));
  }

  private static LongSupplier answerTimeLeft(RequestClock clock) {
    long deadlineMillis =
        clock.elapsedMillis() + (long) (clock.remainingMillis() * SHARE_OF_REMAINING_TIME);
    return () -> deadlineMillis - clock.elapsedMillis();
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
