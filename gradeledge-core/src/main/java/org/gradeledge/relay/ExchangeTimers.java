package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** What ends a request that takes too long, and an attempt that is silent. Confined to the loop. */
final class ExchangeTimers {

  private final EventLoop loop;
  private @Nullable Future<?> timeUp;
  private @Nullable AttemptWatch watch;

  ExchangeTimers(EventLoop loop) {
    this.loop = loop;
  }

  /** Runs an action once the time of the request is up. */
  void endAfter(long millis, Runnable action) {
    timeUp = loop.schedule(action, millis, TimeUnit.MILLISECONDS);
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
