package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Runs an action after a short delay and coalesces the requests made in the meantime. */
final class DelayedRecheck {

  /** Bounds how late a free upstream is detected when no event reports it. */
  private static final long DELAY_MILLIS = 25;

  private final EventLoop loop;
  private final Runnable action;
  private boolean scheduled;

  DelayedRecheck(EventLoop loop, Runnable action) {
    this.loop = loop;
    this.action = action;
  }

  void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::run, DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void run() {
    scheduled = false;
    action.run();
  }
}
