package org.gradeledge.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A deployment in virtual time: boxes that tell each other late, upstreams that crash by themselves
 * and come back, requests that are sent to a second upstream, and some that end whoever runs them.
 */
final class QuarantineSimulation {

  /** What a seed varies, and what tests set. */
  record Plan(
      int boxCount,
      int upstreamCount,
      int crashingRequests,
      long maxPropagationMillis,
      double crashesPerSecond) {}

  private static final long DURATION_MILLIS = 60_000;
  private static final int REQUESTS_PER_SECOND = 60;
  private static final int DISTINCT_REQUESTS = 300;
  private static final long MIN_RUN_MILLIS = 100;
  private static final long MAX_RUN_MILLIS = 2_500;
  private static final int CRASH_SPREAD_MILLIS = 560;
  private static final long DOWN_MILLIS = 3_000;
  private static final int MAX_ATTEMPTS = 2;
  private static final long HARMLESS = 7;
  private static final long CRASHING = 9;

  private record Event(long atMillis, long order, Runnable action) {}

  private final Plan plan;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::atMillis).thenComparing(Event::order));
  private final List<Quarantine> boxes = new ArrayList<>();
  private final List<Upstream> upstreams = new ArrayList<>();
  private long nowMillis;
  private long order;
  private int crashesByRequests;
  private int harmlessSent;
  private int harmlessQuarantined;

  /** One upstream; a crash makes the next start of it. */
  private static final class Upstream {

    private int incarnation;
    private boolean down;
    private final List<SimulatedRequest> running = new ArrayList<>();
  }

  /** A request on its way: to one upstream after the other. */
  private final class SimulatedRequest {

    private final RequestFingerprint fingerprint;
    private final boolean crashesUpstream;
    private final Quarantine box;
    private int attempts;
    private boolean answered;

    SimulatedRequest(RequestFingerprint request, boolean guilty, Quarantine box) {
      this.fingerprint = request;
      this.crashesUpstream = guilty;
      this.box = box;
    }

    void send() {
      if (box.isQuarantined(fingerprint)) {
        harmlessQuarantined += crashesUpstream ? 0 : 1;
        return;
      }
      List<Upstream> up = upstreams.stream().filter(each -> !each.down).toList();
      if (up.isEmpty() || attempts == MAX_ATTEMPTS) {
        return;
      }
      attempts++;
      harmlessSent += crashesUpstream ? 0 : 1;
      Upstream upstream = up.get(random.nextInt(up.size()));
      upstream.running.add(this);
      int start = upstream.incarnation;
      long spread = crashesUpstream ? CRASH_SPREAD_MILLIS : MAX_RUN_MILLIS - MIN_RUN_MILLIS;
      long millis = (crashesUpstream ? 10 : MIN_RUN_MILLIS) + (long) (random.nextDouble() * spread);
      schedule(millis, () -> finished(upstream, start));
    }

    private void finished(Upstream upstream, int start) {
      if (upstream.incarnation != start || !upstream.running.contains(this)) {
        return;
      }
      if (crashesUpstream) {
        crashesByRequests++;
        crash(upstream);
      } else if (!answered) {
        answered = true;
        upstream.running.remove(this);
        box.recordSuccess(fingerprint);
        broadcast(box);
      }
    }

    /** The upstream has ended under it: that is proved a moment later, and it is sent again. */
    private void onCrash(String start) {
      schedule(
          2,
          () -> {
            box.recordCrash(fingerprint, start);
            broadcast(box);
          });
      schedule(3, this::send);
    }
  }

  QuarantineSimulation(Plan plan, long seed) {
    this.plan = plan;
    this.random = new Random(seed);
  }

  /** Plays a minute. */
  QuarantineSimulation run() {
    for (int box = 0; box < plan.boxCount(); box++) {
      boxes.add(new Quarantine(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis)));
    }
    for (int upstream = 0; upstream < plan.upstreamCount(); upstream++) {
      upstreams.add(new Upstream());
    }
    for (int request = 0; request < REQUESTS_PER_SECOND * DURATION_MILLIS / 1_000; request++) {
      int popular = (int) (DISTINCT_REQUESTS * Math.pow(random.nextDouble(), 2));
      scheduleArrival(new RequestFingerprint(HARMLESS, popular, popular), false);
    }
    for (int guilty = 0; guilty < plan.crashingRequests(); guilty++) {
      for (int copy = 0; copy < 40; copy++) {
        scheduleArrival(new RequestFingerprint(CRASHING, guilty, -1 - guilty), true);
      }
    }
    for (int crash = 0; crash < plan.crashesPerSecond() * DURATION_MILLIS / 1_000; crash++) {
      schedule(
          random.nextInt((int) DURATION_MILLIS),
          () -> crash(upstreams.get(random.nextInt(upstreams.size()))));
    }
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    return this;
  }

  private void scheduleArrival(RequestFingerprint request, boolean guilty) {
    Quarantine box = boxes.get(random.nextInt(boxes.size()));
    schedule(
        random.nextInt((int) DURATION_MILLIS),
        () -> new SimulatedRequest(request, guilty, box).send());
  }

  private void crash(Upstream upstream) {
    if (upstream.down) {
      return;
    }
    String start = upstreams.indexOf(upstream) + "*" + upstream.incarnation;
    upstream.down = true;
    upstream.incarnation++;
    List<SimulatedRequest> lost = List.copyOf(upstream.running);
    upstream.running.clear();
    lost.forEach(run -> run.onCrash(start));
    schedule(DOWN_MILLIS, () -> upstream.down = false);
  }

  private void broadcast(Quarantine from) {
    SuspectUpdate news = from.takeUpdate();
    if (!news.isEmpty()) {
      boxes.stream()
          .filter(box -> box != from)
          .forEach(
              box ->
                  schedule(
                      1 + random.nextInt((int) plan.maxPropagationMillis()),
                      () -> box.merge(news)));
    }
  }

  private void schedule(long millis, Runnable action) {
    events.add(new Event(nowMillis + millis, order++, action));
  }

  int crashesByRequests() {
    return crashesByRequests;
  }

  int harmlessQuarantined() {
    return harmlessQuarantined;
  }

  int harmlessSent() {
    return harmlessSent;
  }

  /** Returns how many innocent requests some box still holds back. */
  long harmlessQuarantinedAtEnd() {
    return boxes.stream()
        .flatMap(box -> box.quarantined().stream())
        .filter(request -> request.high() == HARMLESS)
        .distinct()
        .count();
  }
}
