package org.gradeledge.node;

import java.time.Duration;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.time.MonotonicClock;

/**
 * Tracks whether a table has been read without gaps long enough to miss an outage in which rows
 * expire. Confined to the event loop.
 */
final class ReadContinuityTracker {

  /** Longest time between two answers; shorter than the time after which rows expire. */
  private static final Duration MAX_GAP = Duration.ofMillis(2_500);

  /**
   * Time without gaps before removals are trusted. Rows that expired in an outage just before the
   * first read have been written again by then.
   */
  private static final Duration MIN_CONTINUOUS_TIME = Duration.ofSeconds(2);

  private final MonotonicClock clock;
  private long continuousSinceNanos;
  private long lastAnswerNanos;
  private boolean answerReceived;

  ReadContinuityTracker(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Records an answer of the table. */
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
    boolean continuous =
        answerReceived
            && now - lastAnswerNanos <= MAX_GAP.toNanos()
            && lastAnswerNanos - continuousSinceNanos >= MIN_CONTINUOUS_TIME.toNanos();
    return continuous ? ListTrust.TRUSTED : ListTrust.UNKNOWN;
  }
}
