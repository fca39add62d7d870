package org.gradeledge.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.time.MonotonicClock;

/**
 * A deployment in virtual time, with one upstream that names a limit: boxes that want to send all
 * the time, tell each other late, and may be stopped, frozen, added and lost for each other.
 */
final class RateLimitSimulation {

  /** What tests set. */
  record Plan(
      int boxCount,
      double limit,
      double attemptsPerSecond,
      long maxPropagationMillis,
      long maxResponseMillis) {}

  static final long LIMIT_ANNOUNCED_AT_MILLIS = 2_000;

  private static final long STEP_MILLIS = 10;
  private static final long HEARTBEAT_MILLIS = 200;
  private static final long LARGE_HEARTBEAT_MILLIS = 400;
  private static final int MAX_SMALL_DEPLOYMENT = 12;
  private static final long NETWORK_DELAY_MILLIS = 30;
  private static final long PEER_TIMEOUT_MILLIS = 10_000;
  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("id", "service", "127.0.0.1", 1, "zone", 8, false);

  /** One box; it hears others as the plan lets it. */
  private final class Box {

    private final String name;
    private final UpstreamLimits limits =
        new UpstreamLimits(clock, EventLogs.silent(), () -> List.of(UPSTREAM));
    private final UpstreamRateLimiter limiter =
        new UpstreamRateLimiter(clock, limits, this::rank, service -> false);
    private final Map<String, Long> lastReceivedMillis = new HashMap<>();
    private long downUntilMillis;
    private boolean stopped;

    Box(String name) {
      this.name = name;
      weights.computeIfAbsent(name, unknown -> random.nextDouble());
      limits.onChange(() -> broadcast(this));
    }

    boolean isUp() {
      return !stopped && nowMillis >= downUntilMillis;
    }

    private Optional<BoxRank> rank(String start) {
      int before = 0;
      int there = 1;
      for (Map.Entry<String, Long> other : lastReceivedMillis.entrySet()) {
        if (!other.getKey().equals(name) && nowMillis - other.getValue() < PEER_TIMEOUT_MILLIS) {
          there++;
          before += weights.get(other.getKey()) < weights.get(name) ? 1 : 0;
        }
      }
      return Optional.of(new BoxRank(before, there));
    }
  }

  private final Plan plan;
  private final Random random;
  private final Map<String, Double> weights = new HashMap<>();
  private final List<Box> boxes = new ArrayList<>();
  private final Map<Long, List<Runnable>> scheduled = new HashMap<>();
  private final List<Long> arrivalsMillis = new ArrayList<>();
  private final Set<String> unreachableSenders = new TreeSet<>();
  private long nowMillis = 1_000_000;
  private final long startMillis = nowMillis;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private double limit;
  private long lastAnnouncedNanos;
  private boolean liftConfirmed;
  private int announcementsInFlight;

  RateLimitSimulation(Plan plan, long seed) {
    this.plan = plan;
    this.random = new Random(seed);
    this.limit = plan.limit();
    for (int box = 0; box < plan.boxCount(); box++) {
      boxes.add(new Box("box-" + box));
    }
    boxes.forEach(box -> boxes.forEach(other -> box.lastReceivedMillis.put(other.name, nowMillis)));
  }

  int boxCount() {
    return boxes.size();
  }

  /** A box ends without a word, and is there again under its name after a while. */
  void restart(int index, long awayMillis) {
    Box next = new Box(boxes.get(index).name);
    next.downUntilMillis = nowMillis + awayMillis;
    boxes.get(index).stopped = true;
    boxes.set(index, next);
  }

  /** A box does nothing for a while, and goes on as if no time had passed. */
  void freeze(int index, long millis) {
    boxes.get(index).downUntilMillis = nowMillis + millis;
  }

  void addBox() {
    boxes.add(new Box("added-" + boxes.size()));
  }

  /** Nobody hears a box any more, which hears all others. */
  void dropMessagesFrom(int index) {
    unreachableSenders.add(boxes.get(index).name);
  }

  void deliverAllMessages() {
    unreachableSenders.clear();
  }

  /** The upstream names another limit from now on; a negative one means none. */
  void setLimit(double next) {
    limit = next;
  }

  /** Lets time pass. */
  void run(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      Optional.ofNullable(scheduled.remove(nowMillis)).ifPresent(due -> due.forEach(Runnable::run));
      if ((nowMillis - startMillis) % heartbeatMillis() == 0) {
        boxes.stream().filter(Box::isUp).forEach(this::broadcast);
      }
      List.copyOf(boxes).stream().filter(Box::isUp).forEach(this::sendIfAllowed);
    }
  }

  private long heartbeatMillis() {
    return boxes.size() > MAX_SMALL_DEPLOYMENT ? LARGE_HEARTBEAT_MILLIS : HEARTBEAT_MILLIS;
  }

  private void sendIfAllowed(Box box) {
    double wanted = plan.attemptsPerSecond() * STEP_MILLIS / 1_000 / boxes.size();
    if (random.nextDouble() < wanted && box.limiter.admits(UPSTREAM)) {
      box.limiter.recordSent(UPSTREAM);
      arrivalsMillis.add(nowMillis);
      long sentNanos = clock.nanos();
      boolean names = limit >= 0 && nowMillis - startMillis >= LIMIT_ANNOUNCED_AT_MILLIS;
      LimitAnnouncement answer =
          names ? LimitAnnouncement.named(limit) : LimitAnnouncement.NO_LIMIT;
      announcementsInFlight += names ? 1 : 0;
      schedule(
          1 + random.nextLong(plan.maxResponseMillis()),
          () -> {
            announcementsInFlight -= names ? 1 : 0;
            if (box.isUp()) {
              box.limits.onAnswer(UPSTREAM, sentNanos, answer);
              recordAnswer(sentNanos, names);
            }
          });
    }
  }

  private void recordAnswer(long sentNanos, boolean names) {
    if (names) {
      lastAnnouncedNanos = clock.nanos();
      liftConfirmed = false;
    } else if (sentNanos > lastAnnouncedNanos) {
      liftConfirmed = true;
    }
  }

  /**
   * Returns whether an answer without a limit came to what was sent after the last one with it. One
   * with it that is still under way may come later, and counts as newer by what a box can know.
   */
  boolean isLiftConfirmed() {
    return liftConfirmed && announcementsInFlight == 0;
  }

  /** What relays hold news up for is told with it; the time on the wire is not. */
  private void broadcast(Box teller) {
    List<LimitReport> reports = teller.limits.reports();
    long toldMillis = nowMillis;
    boxes.stream()
        .filter(box -> box != teller && !unreachableSenders.contains(teller.name))
        .forEach(
            box ->
                schedule(
                    1 + random.nextLong(plan.maxPropagationMillis()),
                    () -> {
                      if (box.isUp()) {
                        box.lastReceivedMillis.put(teller.name, nowMillis);
                        long late = nowMillis - toldMillis;
                        box.limits.merge(
                            teller.name, reports, Math.max(0, late - NETWORK_DELAY_MILLIS));
                      }
                    }));
  }

  private void schedule(long millis, Runnable action) {
    long at = nowMillis + (millis / STEP_MILLIS + 1) * STEP_MILLIS;
    scheduled.computeIfAbsent(at, moment -> new ArrayList<>()).add(action);
  }

  /** Returns how many boxes take the upstream to have a limit. */
  long boxesWithLimit() {
    return boxes.stream().filter(box -> box.limits.limitedCount() > 0).count();
  }

  /** Returns the most requests in any window of 4 s that begins so long after the start. */
  long maxRequestsInWindow(long fromMillis) {
    List<Long> counted =
        arrivalsMillis.stream().filter(at -> at - startMillis >= fromMillis).toList();
    return counted.stream()
        .mapToLong(from -> counted.stream().filter(at -> at >= from && at < from + 4_000).count())
        .max()
        .orElse(0);
  }

  /** Returns how many requests came between two moments after the start. */
  long arrivedBetween(long fromMillis, long toMillis) {
    return arrivalsMillis.stream()
        .filter(at -> at - startMillis >= fromMillis && at - startMillis < toMillis)
        .count();
  }
}
