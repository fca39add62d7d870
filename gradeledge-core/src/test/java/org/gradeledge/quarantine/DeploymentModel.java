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
final class DeploymentModel {

  /** What a seed varies, and what tests set. */
  record Plan(
      int boxes, int upstreams, int guiltyRequests, long newsMillis, double crashesPerSecond) {}

  private static final long LENGTH_MILLIS = 60_000;
  private static final int REQUESTS_PER_SECOND = 60;
  private static final int DIFFERENT = 300;
  private static final long SHORTEST_RUN_MILLIS = 100;
  private static final long LONGEST_RUN_MILLIS = 2_500;
  private static final int CRASHES_AFTER_MILLIS = 560;
  private static final long DOWN_MILLIS = 3_000;
  private static final int TRIES = 2;
  private static final long INNOCENT = 7;
  private static final long GUILTY = 9;

  private record Event(long atMillis, long order, Runnable action) {}

  private final Plan plan;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::atMillis).thenComparing(Event::order));
  private final List<Quarantine> boxes = new ArrayList<>();
  private final List<Upstream> upstreams = new ArrayList<>();
  private long nowMillis;
  private long order;
  private int endedByGuilty;
  private int innocentSent;
  private int innocentHeldBack;

  /** One upstream; a crash makes the next start of it. */
  private static final class Upstream {

    private int starts;
    private boolean down;
    private final List<Run> running = new ArrayList<>();
  }

  /** A request on its way: to one upstream after the other. */
  private final class Run {

    private final RequestFingerprint request;
    private final boolean guilty;
    private final Quarantine box;
    private int tries;
    private boolean over;

    Run(RequestFingerprint request, boolean guilty, Quarantine box) {
      this.request = request;
      this.guilty = guilty;
      this.box = box;
    }

    void send() {
      if (box.bars(request)) {
        innocentHeldBack += guilty ? 0 : 1;
        return;
      }
      List<Upstream> up = upstreams.stream().filter(each -> !each.down).toList();
      if (up.isEmpty() || tries == TRIES) {
        return;
      }
      tries++;
      innocentSent += guilty ? 0 : 1;
      Upstream upstream = up.get(random.nextInt(up.size()));
      upstream.running.add(this);
      int start = upstream.starts;
      long spread = guilty ? CRASHES_AFTER_MILLIS : LONGEST_RUN_MILLIS - SHORTEST_RUN_MILLIS;
      long millis = (guilty ? 10 : SHORTEST_RUN_MILLIS) + (long) (random.nextDouble() * spread);
      after(millis, () -> finished(upstream, start));
    }

    private void finished(Upstream upstream, int start) {
      if (upstream.starts != start || !upstream.running.contains(this)) {
        return;
      }
      if (guilty) {
        endedByGuilty++;
        crash(upstream);
      } else if (!over) {
        over = true;
        upstream.running.remove(this);
        box.answered(request);
        tellOthers(box);
      }
    }

    /** The upstream has ended under it: that is proved a moment later, and it is sent again. */
    private void lost(String start) {
      after(
          2,
          () -> {
            box.endedUnder(request, start);
            tellOthers(box);
          });
      after(3, this::send);
    }
  }

  DeploymentModel(Plan plan, long seed) {
    this.plan = plan;
    this.random = new Random(seed);
  }

  /** Plays a minute. */
  DeploymentModel play() {
    for (int box = 0; box < plan.boxes(); box++) {
      boxes.add(new Quarantine(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis)));
    }
    for (int upstream = 0; upstream < plan.upstreams(); upstream++) {
      upstreams.add(new Upstream());
    }
    for (int request = 0; request < REQUESTS_PER_SECOND * LENGTH_MILLIS / 1_000; request++) {
      int popular = (int) (DIFFERENT * Math.pow(random.nextDouble(), 2));
      arrive(new RequestFingerprint(INNOCENT, popular, popular), false);
    }
    for (int guilty = 0; guilty < plan.guiltyRequests(); guilty++) {
      for (int copy = 0; copy < 40; copy++) {
        arrive(new RequestFingerprint(GUILTY, guilty, -1 - guilty), true);
      }
    }
    for (int crash = 0; crash < plan.crashesPerSecond() * LENGTH_MILLIS / 1_000; crash++) {
      after(
          random.nextInt((int) LENGTH_MILLIS),
          () -> crash(upstreams.get(random.nextInt(upstreams.size()))));
    }
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    return this;
  }

  private void arrive(RequestFingerprint request, boolean guilty) {
    Quarantine box = boxes.get(random.nextInt(boxes.size()));
    after(random.nextInt((int) LENGTH_MILLIS), () -> new Run(request, guilty, box).send());
  }

  private void crash(Upstream upstream) {
    if (upstream.down) {
      return;
    }
    String start = upstreams.indexOf(upstream) + "*" + upstream.starts;
    upstream.down = true;
    upstream.starts++;
    List<Run> lost = List.copyOf(upstream.running);
    upstream.running.clear();
    lost.forEach(run -> run.lost(start));
    after(DOWN_MILLIS, () -> upstream.down = false);
  }

  private void tellOthers(Quarantine from) {
    SuspectNews news = from.takeNews();
    if (!news.isEmpty()) {
      boxes.stream()
          .filter(box -> box != from)
          .forEach(
              box -> after(1 + random.nextInt((int) plan.newsMillis()), () -> box.merge(news)));
    }
  }

  private void after(long millis, Runnable action) {
    events.add(new Event(nowMillis + millis, order++, action));
  }

  int endedByGuilty() {
    return endedByGuilty;
  }

  int innocentHeldBack() {
    return innocentHeldBack;
  }

  int innocentSent() {
    return innocentSent;
  }

  /** Returns how many innocent requests some box still holds back. */
  long innocentHeldBackAtTheEnd() {
    return boxes.stream()
        .flatMap(box -> box.barred().stream())
        .filter(request -> request.high() == INNOCENT)
        .distinct()
        .count();
  }
}
