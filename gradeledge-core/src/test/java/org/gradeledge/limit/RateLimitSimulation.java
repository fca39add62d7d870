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
 * Simulates, in virtual time, boxes that send to one upstream with a rate limit, exchange reports
 * with a delay, and may be restarted, frozen, added or unable to reach each other.
 */
final class RateLimitSimulation {

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
      weights.computeIfAbsent(name, key -> random.nextDouble());
      limits.onChange(() -> broadcast(this));
    }

    boolean isUp() {
      return !stopped && nowMillis >= downUntilMillis;
    }

    private Optional<BoxRank> rank(String incarnationId) {
      int rank = 0;
      int liveBoxes = 1;
      for (Map.Entry<String, Long> other : lastReceivedMillis.entrySet()) {
        if (!other.getKey().equals(name) && nowMillis - other.getValue() < PEER_TIMEOUT_MILLIS) {
          liveBoxes++;
          rank += weights.get(other.getKey()) < weights.get(name) ? 1 : 0;
        }
      }
      return Optional.of(new BoxRank(rank, liveBoxes));
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

  /** Crashes a box and starts it again under the same name after a delay. */
  void restart(int index, long downMillis) {
    Box next = new Box(boxes.get(index).name);
    next.downUntilMillis = nowMillis + downMillis;
    boxes.get(index).stopped = true;
    boxes.set(index, next);
  }

  /** Suspends a box for some time. */
  void freeze(int index, long millis) {
    boxes.get(index).downUntilMillis = nowMillis + millis;
  }

  void addBox() {
    boxes.add(new Box("added-" + boxes.size()));
  }

  /** Drops all messages that a box sends; it still receives those of others. */
  void dropMessagesFrom(int index) {
    unreachableSenders.add(boxes.get(index).name);
  }

  void deliverAllMessages() {
    unreachableSenders.clear();
  }

  /** Sets the limit that the upstream announces; negative for none. */
  void setLimit(double newLimit) {
    limit = newLimit;
  }

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
    double sendProbability = plan.attemptsPerSecond() * STEP_MILLIS / 1_000 / boxes.size();
    if (random.nextDouble() < sendProbability && box.limiter.admits(UPSTREAM)) {
      box.limiter.recordSent(UPSTREAM);
      arrivalsMillis.add(nowMillis);
      long sentNanos = clock.nanos();
      boolean announcesLimit = limit >= 0 && nowMillis - startMillis >= LIMIT_ANNOUNCED_AT_MILLIS;
      LimitAnnouncement answer =
          announcesLimit ? LimitAnnouncement.named(limit) : LimitAnnouncement.NO_LIMIT;
      announcementsInFlight += announcesLimit ? 1 : 0;
      schedule(
          1 + random.nextLong(plan.maxResponseMillis()),
          () -> {
            announcementsInFlight -= announcesLimit ? 1 : 0;
            if (box.isUp()) {
              box.limits.onAnswer(UPSTREAM, sentNanos, answer);
              recordAnswer(sentNanos, announcesLimit);
            }
          });
    }
  }

  private void recordAnswer(long sentNanos, boolean announcesLimit) {
    if (announcesLimit) {
      lastAnnouncedNanos = clock.nanos();
      liftConfirmed = false;
    } else if (sentNanos > lastAnnouncedNanos) {
      liftConfirmed = true;
    }
  }

  /**
   * Returns whether a request sent after the last announcement was answered without a limit, and no
   * announcement is in flight that a box could take for a later one.
   */
  boolean isLiftConfirmed() {
    return liftConfirmed && announcementsInFlight == 0;
  }

  /** The age of a report includes delays at relays, but not the network delay. */
  private void broadcast(Box sender) {
    List<LimitReport> reports = sender.limits.reports();
    long sentMillis = nowMillis;
    boxes.stream()
        .filter(box -> box != sender && !unreachableSenders.contains(sender.name))
        .forEach(
            box ->
                schedule(
                    1 + random.nextLong(plan.maxPropagationMillis()),
                    () -> {
                      if (box.isUp()) {
                        box.lastReceivedMillis.put(sender.name, nowMillis);
                        long delayMillis = nowMillis - sentMillis;
                        box.limits.merge(
                            sender.name, reports, Math.max(0, delayMillis - NETWORK_DELAY_MILLIS));
                      }
                    }));
  }

  private void schedule(long millis, Runnable action) {
    long dueMillis = nowMillis + (millis / STEP_MILLIS + 1) * STEP_MILLIS;
    scheduled.computeIfAbsent(dueMillis, key -> new ArrayList<>()).add(action);
  }

  /** Returns the number of boxes that apply a limit. */
  long boxesWithLimit() {
    return boxes.stream().filter(box -> box.limits.limitedCount() > 0).count();
  }

  /**
   * Returns the maximum number of requests in any 4 s window, counted from the given time after the
   * start.
   */
  long maxRequestsInWindow(long fromMillis) {
    List<Long> counted =
        arrivalsMillis.stream().filter(at -> at - startMillis >= fromMillis).toList();
    return counted.stream()
        .mapToLong(from -> counted.stream().filter(at -> at >= from && at < from + 4_000).count())
        .max()
        .orElse(0);
  }

  /** Returns the number of requests between two times after the start. */
  long arrivedBetween(long fromMillis, long toMillis) {
    return arrivalsMillis.stream()
        .filter(at -> at - startMillis >= fromMillis && at - startMillis < toMillis)
        .count();
  }
}
