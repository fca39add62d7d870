package org.gradeledge.mesh;

import java.util.concurrent.TimeUnit;
import org.gradeledge.time.MonotonicClock;

/**
 * Numbers the heartbeats of a box: the milliseconds since 1970 at its start, and those that have
 * passed since. So they rise within a life, and from one life to the next; where the time of day
 * was set back in between, they are behind for no longer than by that. Confined to the event loop.
 */
final class HeartbeatSequence {

  private final MonotonicClock clock;
  private final long startNanos;
  private final long startMillis;

  HeartbeatSequence(MonotonicClock clock, long timeOfDayMillis) {
    this.clock = clock;
    this.startNanos = clock.nanos();
    this.startMillis = timeOfDayMillis;
  }

  /** Returns the number of a heartbeat that is made now. */
  long next() {
    return startMillis + TimeUnit.NANOSECONDS.toMillis(clock.nanos() - startNanos);
  }
}
