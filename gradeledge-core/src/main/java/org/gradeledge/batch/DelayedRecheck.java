package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Looks at a queue again a little later, once however often that is asked for meanwhile. */
final class DelayedRecheck {

  /** A small part of a call's time, within which an upstream may have become free unheard. */
  private static final long DELAY_MILLIS = 25;

  private final EventLoop loop;
  private final Runnable action;
  private boolean scheduled;

  DelayedRecheck(EventLoop loop, Runnable look) {
    this.loop = loop;
    this.action = look;
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
