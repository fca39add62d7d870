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
final class LimitedDeploymentModel {

  /** What tests set. */
  record Plan(
      int boxes, double limit, double wantedPerSecond, long newsMillis, long latestMillis) {}

  static final long NAMED_AT_MILLIS = 2_000;

  private static final long STEP_MILLIS = 10;
  private static final long BEAT_MILLIS = 200;
  private static final long BEAT_OF_MANY_MILLIS = 400;
  private static final int MANY = 12;
  private static final long WIRE_MILLIS = 30;
  private static final long LOST_AFTER_MILLIS = 10_000;
  private static final UpstreamRecord LIMITED =
      new UpstreamRecord("id", "service", "127.0.0.1", 1, "zone", 8, false);

  /** One box; it hears others as the plan lets it. */
  private final class Box {

    private final String name;
    private final UpstreamLimits limits =
        new UpstreamLimits(clock, EventLogs.silent(), () -> List.of(LIMITED));
    private final LimitedSending sending =
        new LimitedSending(clock, limits, this::rank, service -> false);
    private final Map<String, Long> heardMillis = new HashMap<>();
    private long awayUntilMillis;
    private boolean stopped;

    Box(String name) {
      this.name = name;
      weights.computeIfAbsent(name, unknown -> random.nextDouble());
      limits.onNews(() -> tellAll(this));
    }

    boolean isUp() {
      return !stopped && nowMillis >= awayUntilMillis;
    }

    private Optional<BoxRank> rank(String start) {
      int before = 0;
      int there = 1;
      for (Map.Entry<String, Long> other : heardMillis.entrySet()) {
        if (!other.getKey().equals(name) && nowMillis - other.getValue() < LOST_AFTER_MILLIS) {
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
  private final Map<Long, List<Runnable>> later = new HashMap<>();
  private final List<Long> arrivedMillis = new ArrayList<>();
  private final Set<String> oneWay = new TreeSet<>();
  private long nowMillis = 1_000_000;
  private final long startMillis = nowMillis;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private double limit;
  private long lastNamedNanos;
  private boolean liftedForSure;
  private int namingUnderWay;

  LimitedDeploymentModel(Plan plan, long seed) {
    this.plan = plan;
    this.random = new Random(seed);
    this.limit = plan.limit();
    for (int box = 0; box < plan.boxes(); box++) {
      boxes.add(new Box("box-" + box));
    }
    boxes.forEach(box -> boxes.forEach(other -> box.heardMillis.put(other.name, nowMillis)));
  }

  int boxes() {
    return boxes.size();
  }

  /** A box ends without a word, and is there again under its name after a while. */
  void restart(int index, long awayMillis) {
    Box next = new Box(boxes.get(index).name);
    next.awayUntilMillis = nowMillis + awayMillis;
    boxes.get(index).stopped = true;
    boxes.set(index, next);
  }

  /** A box does nothing for a while, and goes on as if no time had passed. */
  void freeze(int index, long millis) {
    boxes.get(index).awayUntilMillis = nowMillis + millis;
  }

  void add() {
    boxes.add(new Box("added-" + boxes.size()));
  }

  /** Nobody hears a box any more, which hears all others. */
  void silence(int index) {
    oneWay.add(boxes.get(index).name);
  }

  void hearAgain() {
    oneWay.clear();
  }

  /** The upstream names another limit from now on; a negative one means none. */
  void setLimit(double next) {
    limit = next;
  }

  /** Lets time pass. */
  void run(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      Optional.ofNullable(later.remove(nowMillis)).ifPresent(due -> due.forEach(Runnable::run));
      if ((nowMillis - startMillis) % beatMillis() == 0) {
        boxes.stream().filter(Box::isUp).forEach(this::tellAll);
      }
      List.copyOf(boxes).stream().filter(Box::isUp).forEach(this::sendAsMuchAsWanted);
    }
  }

  private long beatMillis() {
    return boxes.size() > MANY ? BEAT_OF_MANY_MILLIS : BEAT_MILLIS;
  }

  private void sendAsMuchAsWanted(Box box) {
    double wanted = plan.wantedPerSecond() * STEP_MILLIS / 1_000 / boxes.size();
    if (random.nextDouble() < wanted && box.sending.admits(LIMITED)) {
      box.sending.sent(LIMITED);
      arrivedMillis.add(nowMillis);
      long sentNanos = clock.nanos();
      boolean names = limit >= 0 && nowMillis - startMillis >= NAMED_AT_MILLIS;
      LimitStatement answer = names ? LimitStatement.named(limit) : LimitStatement.NO_LIMIT;
      namingUnderWay += names ? 1 : 0;
      after(
          1 + random.nextLong(plan.latestMillis()),
          () -> {
            namingUnderWay -= names ? 1 : 0;
            if (box.isUp()) {
              box.limits.answered(LIMITED, sentNanos, answer);
              noteHeard(sentNanos, names);
            }
          });
    }
  }

  private void noteHeard(long sentNanos, boolean names) {
    if (names) {
      lastNamedNanos = clock.nanos();
      liftedForSure = false;
    } else if (sentNanos > lastNamedNanos) {
      liftedForSure = true;
    }
  }

  /**
   * Returns whether an answer without a limit came to what was sent after the last one with it. One
   * with it that is still under way may come later, and counts as newer by what a box can know.
   */
  boolean isLiftedForSure() {
    return liftedForSure && namingUnderWay == 0;
  }

  /** What relays hold news up for is told with it; the time on the wire is not. */
  private void tellAll(Box teller) {
    List<LimitReport> reports = teller.limits.reports();
    long toldMillis = nowMillis;
    boxes.stream()
        .filter(box -> box != teller && !oneWay.contains(teller.name))
        .forEach(
            box ->
                after(
                    1 + random.nextLong(plan.newsMillis()),
                    () -> {
                      if (box.isUp()) {
                        box.heardMillis.put(teller.name, nowMillis);
                        long late = nowMillis - toldMillis;
                        box.limits.told(teller.name, reports, Math.max(0, late - WIRE_MILLIS));
                      }
                    }));
  }

  private void after(long millis, Runnable action) {
    long at = nowMillis + (millis / STEP_MILLIS + 1) * STEP_MILLIS;
    later.computeIfAbsent(at, moment -> new ArrayList<>()).add(action);
  }

  /** Returns how many boxes take the upstream to have a limit. */
  long boxesThatKnowALimit() {
    return boxes.stream().filter(box -> box.limits.count() > 0).count();
  }

  /** Returns the most requests in any window of 4 s that begins so long after the start. */
  long mostInWindow(long fromMillis) {
    List<Long> counted =
        arrivedMillis.stream().filter(at -> at - startMillis >= fromMillis).toList();
    return counted.stream()
        .mapToLong(from -> counted.stream().filter(at -> at >= from && at < from + 4_000).count())
        .max()
        .orElse(0);
  }

  /** Returns how many requests came between two moments after the start. */
  long arrivedBetween(long fromMillis, long toMillis) {
    return arrivedMillis.stream()
        .filter(at -> at - startMillis >= fromMillis && at - startMillis < toMillis)
        .count();
  }
}
