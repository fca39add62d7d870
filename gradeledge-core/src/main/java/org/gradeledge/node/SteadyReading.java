package org.gradeledge.node;

import java.time.Duration;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.time.MonotonicClock;

/**
 * Whether a box has read a table so steadily that it would have noticed an outage in which entries
 * lapse. Confined to the event loop.
 */
final class SteadyReading {

  /**
   * Longest time between two answers. Entries lapse after three heartbeats of silence, which is no
   * less than 3 s on any deployment; a box that others rely on reads each second.
   */
  private static final Duration LONGEST_GAP = Duration.ofMillis(2_500);

  /**
   * Whoever has just begun to read does not know of an outage that has just ended; within two
   * seconds of that the entries of all that live are back.
   */
  private static final Duration SHORTEST_TIME = Duration.ofSeconds(2);

  private final MonotonicClock clock;
  private long sinceNanos;
  private long lastNanos;
  private boolean read;

  SteadyReading(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Notes an answer. */
  void answered() {
    long now = clock.nanos();
    if (!read || now - lastNanos > LONGEST_GAP.toNanos()) {
      sinceNanos = now;
    }
    read = true;
    lastNanos = now;
  }

  ListTrust trust() {
    long now = clock.nanos();
    boolean steady =
        read
            && now - lastNanos <= LONGEST_GAP.toNanos()
            && lastNanos - sinceNanos >= SHORTEST_TIME.toNanos();
    return steady ? ListTrust.TRUSTED : ListTrust.UNKNOWN;
  }
}
