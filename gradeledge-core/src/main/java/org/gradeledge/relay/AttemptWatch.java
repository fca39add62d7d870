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
final class AttemptWatch {

  /** Several times the longest pause that engines make between two events of a stream. */
  private static final long STREAM_SILENT_MILLIS = 1_500;

  /** What is silent and cannot be given up now is looked at again after this. */
  private static final long AGAIN_MILLIS = 100;

  /** Of the time that a request has left, so that as much is left for another upstream. */
  private static final double PART_OF_TIME = 0.5;

  private final EventLoop loop;
  private final LongSupplier millisUntilSilent;
  private final Runnable onSilent;
  private Future<?> looking;
  private boolean stopped;

  /**
   * Starts to look.
   *
   * @param millisUntilSilent how much longer nothing may come; 0 or less once that has passed
   * @param onSilent called again and again while the upstream is not expected to answer any more
   */
  AttemptWatch(EventLoop loop, LongSupplier millisUntilSilent, Runnable onSilent) {
    this.loop = loop;
    this.millisUntilSilent = millisUntilSilent;
    this.onSilent = onSilent;
    this.looking = lookAfter(millisUntilSilent.getAsLong());
  }

  /** Watches an attempt by what the route's answers are expected to be like. */
  static AttemptWatch of(
      RelayServices services,
      RouteDefinition route,
      RequestClock clock,
      Attempt attempt,
      Runnable onSilent) {
    LongSupplier left =
        route.repeatability().streaming()
            ? streamTime(services, (StreamAttempt) attempt)
            : answerTime(clock);
    return new AttemptWatch(services.loop(), left, onSilent);
  }

  private static LongSupplier streamTime(RelayServices services, StreamAttempt stream) {
    return () ->
        STREAM_SILENT_MILLIS
            - Math.min(stream.silentMillis(), services.board().silentMillis(stream.upstream()));
  }

  private static LongSupplier answerTime(RequestClock clock) {
    long end = clock.elapsedMillis() + (long) (clock.leftMillis() * PART_OF_TIME);
    return () -> end - clock.elapsedMillis();
  }

  /** Stops to look. */
  void stop() {
    stopped = true;
    looking.cancel(false);
  }

  private void look() {
    long left = millisUntilSilent.getAsLong();
    if (left <= 0) {
      onSilent.run();
    }
    if (!stopped) {
      looking = lookAfter(left <= 0 ? AGAIN_MILLIS : left);
    }
  }

  private Future<?> lookAfter(long millis) {
    return loop.schedule(this::look, Math.max(1, millis), TimeUnit.MILLISECONDS);
  }
}
