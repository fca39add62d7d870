package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** What ends a request that takes too long, and an attempt that is silent. Confined to the loop. */
final class ExchangeTimers {

  private final EventLoop loop;
  private final RequestClock clock;
  private Runnable onTimeUp = () -> {};
  private @Nullable Future<?> timeUp;
  private @Nullable AttemptWatch watch;

  ExchangeTimers(EventLoop loop, RequestClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /** Runs an action once the time of the request is up. */
  void start(Runnable action) {
    onTimeUp = action;
    timeUp = loop.schedule(action, clock.leftMillis(), TimeUnit.MILLISECONDS);
  }

  /** Does what is due by the true time, as timers do not count suspended time. */
  void wokeUp() {
    if (clock.leftMillis() == 0) {
      onTimeUp.run();
    }
  }

  void watch(AttemptWatch started) {
    watch = started;
  }

  void stopWatch() {
    if (watch != null) {
      watch.stop();
      watch = null;
    }
  }

  void stopAll() {
    stopWatch();
    if (timeUp != null) {
      timeUp.cancel(false);
    }
  }
}
