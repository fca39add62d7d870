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
 * Simulates, in virtual time, boxes that send to one upstream, which rejects some requests and
 * requests a backoff each time.
 */
final class BackoffSimulation {

  /** How boxes apply a requested backoff. */
  enum Strategy {
    /** Each box applies the backoffs it received itself, with a ramp-up. */
    ALONE,
    /** All boxes apply a backoff that any of them received. */
    TOGETHER,
    /** As {@link #ALONE}, but without the ramp-up. */
    ALL_AT_ONCE
  }

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u", "service", "127.0.0.1", 1, "zone", 8, false);
  private static final double MILLIS_PER_SECOND = 1e3;

  /** Fraction of the capacity per second that is available at the end of the backoff. */
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

  /** Lets each box send at a rate while the upstream rejects a fraction of the requests. */
  void runWithRejections(Duration length, double attemptsPerSecond, double rejectedFraction) {
    for (long millis = 0; millis < length.toMillis(); millis++) {
      nowMillis++;
      for (UpstreamBackoffs box : boxes) {
        if (random.nextDouble() < attemptsPerSecond / MILLIS_PER_SECOND && box.admits(UPSTREAM)) {
          send(box, random.nextDouble() >= rejectedFraction);
        }
      }
    }
  }

  /**
   * Lets a number of requests wait at each box until the end of a backoff; the upstream then serves
   * up to its capacity.
   */
  void runAfterBackoff(Duration length, int waitingPerBox, double capacityPerSecond) {
    boxes.forEach(box -> box.onAnswer(UPSTREAM, BackoffAnnouncement.requested(backoff)));
    nowMillis += backoff.toMillis();
    int[] waiting = new int[boxes.size()];
    Arrays.fill(waiting, waitingPerBox);
    capacity = capacityPerSecond * INITIAL_CAPACITY_FRACTION;
    for (long millis = 0; millis < length.toMillis(); millis++) {
      nowMillis++;
      capacity = Math.min(capacityPerSecond, capacity + capacityPerSecond / MILLIS_PER_SECOND);
      for (int box = 0; box < waiting.length; box++) {
        while (waiting[box] > 0 && admits(boxes.get(box), millis)) {
          waiting[box]--;
          boolean accepted = capacity >= 1;
          capacity -= accepted ? 1 : 0;
          send(boxes.get(box), accepted);
        }
      }
    }
  }

  private boolean admits(UpstreamBackoffs box, long millisAfterBackoff) {
    return box.admits(UPSTREAM) || strategy == Strategy.ALL_AT_ONCE && millisAfterBackoff == 0;
  }

  private void send(UpstreamBackoffs box, boolean accepted) {
    box.recordSent(UPSTREAM);
    served += accepted ? 1 : 0;
    rejected += accepted ? 0 : 1;
    if (!accepted) {
      List<UpstreamBackoffs> receivers = strategy == Strategy.TOGETHER ? boxes : List.of(box);
      receivers.forEach(each -> each.onAnswer(UPSTREAM, BackoffAnnouncement.requested(backoff)));
    }
  }
}
