package org.gradeledge.relay;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.gradeledge.deployment.RouteDefinition;

/**
 * When an attempt that shows no sign of life is given up, so that another upstream can be asked.
 */
final class AttemptWatch {

  private static final long STREAM_SILENT_MILLIS = 1_500;
  private static final long LOOK_MILLIS = 100;
  private static final double PART_OF_TIME = 0.5;

  private final RelayServices services;
  private final RouteDefinition route;
  private final Attempt attempt;
  private final long limitMillis;
  private final RequestClock clock;
  private final long startedAtMillis;
  private final ScheduledFuture<?> looking;

  /**
   * Starts to look.
   *
   * @param onSilent called again and again while the upstream is not expected to answer any more
   */
  AttemptWatch(
      RelayServices services,
      RouteDefinition route,
      RequestClock clock,
      Attempt attempt,
      Runnable onSilent) {
    this.services = services;
    this.route = route;
    this.clock = clock;
    this.attempt = attempt;
    this.startedAtMillis = clock.elapsedMillis();
    this.limitMillis = (long) (clock.leftMillis() * PART_OF_TIME);
    this.looking =
        services
            .loop()
            .scheduleAtFixedRate(
                () -> look(onSilent), LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops to look. */
  void stop() {
    looking.cancel(false);
  }

  private void look(Runnable onSilent) {
    if (silent()) {
      onSilent.run();
    }
  }

  private boolean silent() {
    if (!route.repeatability().streaming()) {
      return clock.elapsedMillis() - startedAtMillis > limitMillis;
    }
    StreamAttempt stream = (StreamAttempt) attempt;
    return stream.silentMillis() > STREAM_SILENT_MILLIS
        && services.board().silentMillis(stream.upstream()) > STREAM_SILENT_MILLIS;
  }
}
