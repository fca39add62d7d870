package org.gradeledge.mesh;

import java.util.concurrent.TimeUnit;
import org.gradeledge.time.MonotonicClock;

/**
 * Generates the sequence numbers of the heartbeats of a box: the time of day in milliseconds when
 * the process started plus the time elapsed since then on the monotonic clock. The numbers increase
 * within a process lifetime, and across restarts unless the time of day is set back. Confined to
 * the event loop.
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

  /** Returns the sequence number for a heartbeat that is created now. */
  long next() {
    return startMillis + TimeUnit.NANOSECONDS.toMillis(clock.nanos() - startNanos);
  }
}
