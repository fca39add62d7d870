package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** What ends a request that takes too long, and an attempt that is silent. Confined to the loop. */
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

  /** Runs an action once the time of the request is up. */
  void start(Runnable action) {
    onTimeout = action;
    timeout = loop.schedule(action, clock.remainingMillis(), TimeUnit.MILLISECONDS);
  }

  /** Does what is due by the true time, as timers do not count suspended time. */
  void expireOverdue() {
    if (clock.remainingMillis() == 0) {
      onTimeout.run();
    }
  }

  void setWatchdog(AttemptWatchdog started) {
    watchdog = started;
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
