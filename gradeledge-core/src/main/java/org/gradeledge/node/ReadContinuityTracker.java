package org.gradeledge.node;

import java.time.Duration;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.time.MonotonicClock;

/**
 * Whether a box has read a table so steadily that it would have noticed an outage in which entries
 * lapse. Confined to the event loop.
 */
final class ReadContinuityTracker {

  /**
   * Longest time between two answers. Entries lapse after three heartbeats of silence, which is no
   * less than 3 s on any deployment; a box that others rely on reads each second.
   */
  private static final Duration MAX_GAP = Duration.ofMillis(2_500);

  /**
   * Whoever has just begun to read does not know of an outage that has just ended; within two
   * seconds of that the entries of all that live are back.
   */
  private static final Duration MIN_CONTINUOUS_TIME = Duration.ofSeconds(2);

  private final MonotonicClock clock;
  private long continuousSinceNanos;
  private long lastAnswerNanos;
  private boolean answerReceived;

  ReadContinuityTracker(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Notes an answer. */
  void recordAnswer() {
    long now = clock.nanos();
    if (!answerReceived || now - lastAnswerNanos > MAX_GAP.toNanos()) {
      continuousSinceNanos = now;
    }
    answerReceived = true;
    lastAnswerNanos = now;
  }

  ListTrust trust() {
    long now = clock.nanos();
    boolean steady =
        answerReceived
            && now - lastAnswerNanos <= MAX_GAP.toNanos()
            && lastAnswerNanos - continuousSinceNanos >= MIN_CONTINUOUS_TIME.toNanos();
    return steady ? ListTrust.TRUSTED : ListTrust.UNKNOWN;
  }
}
