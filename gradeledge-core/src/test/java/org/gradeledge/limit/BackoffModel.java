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
final class BackoffModel {

  /** How boxes heed what an upstream asks for. */
  enum Way {
    /** Each box keeps away for as long as it was asked itself, and returns slowly. */
    ALONE,
    /** All boxes keep away once one was asked. */
    TOGETHER,
    /** As alone, but all that waits is sent at the end of the time. */
    ALL_AT_ONCE
  }

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u", "service", "127.0.0.1", 1, "zone", 8, false);
  private static final double MILLIS_OF_SECOND = 1e3;

  /** Part of what the upstream bears in a second that may come at once after a rest. */
  private static final double BORNE_AT_ONCE = 0.25;

  private final Way way;
  private final Duration asked;
  private final Random random;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
  private final List<UpstreamBackoffs> boxes = new ArrayList<>();
  private long nowMillis = 1_000_000;
  private double borne;
  private int served;
  private int turnedAway;

  BackoffModel(Way way, int boxCount, Duration asked, long seed) {
    this.way = way;
    this.asked = asked;
    this.random = new Random(seed);
    for (int box = 0; box < boxCount; box++) {
      boxes.add(new UpstreamBackoffs(clock, EventLogs.silent()));
    }
  }

  int served() {
    return served;
  }

  int turnedAway() {
    return turnedAway;
  }

  /** Each box wants to send so often; a part of what comes is turned away. */
  void playPart(Duration length, double wantedPerSecond, double partTurnedAway) {
    for (long millis = 0; millis < length.toMillis(); millis++) {
      nowMillis++;
      for (UpstreamBackoffs box : boxes) {
        if (random.nextDouble() < wantedPerSecond / MILLIS_OF_SECOND && box.admits(UPSTREAM)) {
          send(box, random.nextDouble() >= partTurnedAway);
        }
      }
    }
  }

  /** So many requests wait at each box when the time is over; it bears so many a second. */
  void playReturn(Duration length, int waitingAtEach, double bornePerSecond) {
    boxes.forEach(box -> box.answered(UPSTREAM, BackoffStatement.requested(asked)));
    nowMillis += asked.toMillis();
    int[] waiting = new int[boxes.size()];
    Arrays.fill(waiting, waitingAtEach);
    borne = bornePerSecond * BORNE_AT_ONCE;
    for (long millis = 0; millis < length.toMillis(); millis++) {
      nowMillis++;
      borne = Math.min(bornePerSecond, borne + bornePerSecond / MILLIS_OF_SECOND);
      for (int box = 0; box < waiting.length; box++) {
        while (waiting[box] > 0 && admits(boxes.get(box), millis)) {
          waiting[box]--;
          boolean runs = borne >= 1;
          borne -= runs ? 1 : 0;
          send(boxes.get(box), runs);
        }
      }
    }
  }

  private boolean admits(UpstreamBackoffs box, long millisAfter) {
    return box.admits(UPSTREAM) || way == Way.ALL_AT_ONCE && millisAfter == 0;
  }

  private void send(UpstreamBackoffs box, boolean runs) {
    box.sent(UPSTREAM);
    served += runs ? 1 : 0;
    turnedAway += runs ? 0 : 1;
    if (!runs) {
      List<UpstreamBackoffs> told = way == Way.TOGETHER ? boxes : List.of(box);
      told.forEach(each -> each.answered(UPSTREAM, BackoffStatement.requested(asked)));
    }
  }
}
