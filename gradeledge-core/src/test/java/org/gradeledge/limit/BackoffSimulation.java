package org.gradeledge.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.time.MonotonicClock;

/**
 * Boxes that want to send to one upstream, which turns a part of the requests away, or all beyond
 * what it bears, and asks for some seconds without any each time. In virtual time.
 */
final class BackoffSimulation {

  /** How boxes heed what an upstream asks for. */
  enum Strategy {
    /** Each box keeps away for as long as it was asked itself, and returns slowly. */
    ALONE,
    /** All boxes keep away once one was asked. */
    TOGETHER,
    /** As alone, but all that waits is sent at the end of the time. */
    ALL_AT_ONCE
  }

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u", "service", "127.0.0.1", 1, "zone", 8, false);
  private static final double MILLIS_PER_SECOND = 1e3;

  /** Part of what the upstream bears in a second that may come at once after a rest. */
  private static final double INITIAL_CAPACITY_FRACTION = 0.25;

  private final Strategy strategy;
  private final Duration backoff;
  private final Random random;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
  private final List<UpstreamBackoffs> boxes = new ArrayList<>();
  private long nowMillis = 1_000_000;
  private double capacity;
  private int served;
  private int rejected;

  BackoffSimulation(Strategy way, int boxCount, Duration asked, long seed) {
    this.strategy = way;
    this.backoff = asked;
    this.random = new Random(seed);
    for (int box = 0; box < boxCount; box++) {
      boxes.add(new UpstreamBackoffs(clock, EventLogs.silent()));
    }
  }

  int served() {
    return served;
  }

  int rejected() {
    return rejected;
  }

  /** Each box wants to send so often; a part of what comes is turned away. */
  void runWithRejections(Duration length, double wantedPerSecond, double partTurnedAway) {
    for (long millis = 0; millis < length.toMillis(); millis++) {
      nowMillis++;
      for (UpstreamBackoffs box : boxes) {
        if (random.nextDouble() < wantedPerSecond / MILLIS_PER_SECOND && box.admits(UPSTREAM)) {
          send(box, random.nextDouble() >= partTurnedAway);
        }
      }
    }
  }

  /** So many requests wait at each box when the time is over; it bears so many a second. */
  void runAfterBackoff(Duration length, int waitingAtEach, double bornePerSecond) {
    boxes.forEach(box -> box.onAnswer(UPSTREAM, BackoffAnnouncement.requested(backoff)));
    nowMillis += backoff.toMillis();
    int[] waiting = new int[boxes.size()];
    Arrays.fill(waiting, waitingAtEach);
    capacity = bornePerSecond * INITIAL_CAPACITY_FRACTION;
    for (long millis = 0; millis < length.toMillis(); millis++) {
      nowMillis++;
      capacity = Math.min(bornePerSecond, capacity + bornePerSecond / MILLIS_PER_SECOND);
      for (int box = 0; box < waiting.length; box++) {
        while (waiting[box] > 0 && admits(boxes.get(box), millis)) {
          waiting[box]--;
          boolean runs = capacity >= 1;
          capacity -= runs ? 1 : 0;
          send(boxes.get(box), runs);
        }
      }
    }
  }

  private boolean admits(UpstreamBackoffs box, long millisAfter) {
    return box.admits(UPSTREAM) || strategy == Strategy.ALL_AT_ONCE && millisAfter == 0;
  }

  private void send(UpstreamBackoffs box, boolean runs) {
    box.recordSent(UPSTREAM);
    served += runs ? 1 : 0;
    rejected += runs ? 0 : 1;
    if (!runs) {
      List<UpstreamBackoffs> told = strategy == Strategy.TOGETHER ? boxes : List.of(box);
      told.forEach(each -> each.onAnswer(UPSTREAM, BackoffAnnouncement.requested(backoff)));
    }
  }
}
