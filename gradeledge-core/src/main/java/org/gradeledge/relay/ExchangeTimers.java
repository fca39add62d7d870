package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Timers of one request: its timeout and the watchdog of its current attempt. Confined to the event
 * loop.
 */
final class ExchangeTimers {

  private final EventLoop loop;
  private final RequestClock clock;
  private Runnable onTimeout = () -> {};
  private @Nullable Future<?> timeout;
  private @Nullable AttemptWatchdog watchdog;

  ExchangeTimers(EventLoop loop, RequestClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /** Starts the timeout. */
  void start(Runnable action) {
    onTimeout = action;
    timeout = loop.schedule(action, clock.remainingMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Runs the timeout action if the time has elapsed; timers do not count time during which the
   * machine was suspended.
   */
  void expireOverdue() {
    if (clock.remainingMillis() == 0) {
      onTimeout.run();
    }
  }

  /** Replaces the watchdog, which is stopped. */
  void setWatchdog(AttemptWatchdog newWatchdog) {
    stopWatchdog();
    watchdog = newWatchdog;
  }

  void stopWatchdog() {
    if (watchdog != null) {
      watchdog.stop();
      watchdog = null;
    }
  }

  void stopAll() {
    stopWatchdog();
    if (timeout != null) {
      timeout.cancel(false);
    }
  }
}
