package org.gradeledge.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulates, in virtual time, boxes that exchange updates with a delay, upstreams that crash and
 * restart, and requests that crash upstreams and are retried.
 */
final class QuarantineSimulation {

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

  private final Plan plan;
  private final Random random;
  private final SimulatedBoxes boxes;
  private final List<Upstream> upstreams = new ArrayList<>();
  private int crashesByRequests;
  private int harmlessSent;
  private int harmlessQuarantined;

  private static final class Upstream {

    private int incarnation;
    private boolean down;
    private final List<SimulatedRequest> running = new ArrayList<>();
  }

  /** A request that is sent to up to {@code MAX_ATTEMPTS} upstreams. */
  private final class SimulatedRequest {

    private final RequestFingerprint fingerprint;
    private final boolean crashesUpstream;
    private final Quarantine box;
    private int attempts;
    private boolean answered;

    SimulatedRequest(RequestFingerprint fingerprint, boolean crashesUpstream, Quarantine box) {
      this.fingerprint = fingerprint;
      this.crashesUpstream = crashesUpstream;
      this.box = box;
    }

    void send() {
      if (box.isQuarantined(fingerprint)) {
        harmlessQuarantined += crashesUpstream ? 0 : 1;
        return;
      }
      List<Upstream> available = upstreams.stream().filter(each -> !each.down).toList();
      if (available.isEmpty() || attempts == MAX_ATTEMPTS) {
        return;
      }
      attempts++;
      harmlessSent += crashesUpstream ? 0 : 1;
      Upstream upstream = available.get(random.nextInt(available.size()));
      upstream.running.add(this);
      int incarnation = upstream.incarnation;
      long spreadMillis = crashesUpstream ? CRASH_SPREAD_MILLIS : MAX_RUN_MILLIS - MIN_RUN_MILLIS;
      long runMillis =
          (crashesUpstream ? 10 : MIN_RUN_MILLIS) + (long) (random.nextDouble() * spreadMillis);
      boxes.schedule(runMillis, () -> finish(upstream, incarnation));
    }

    private void finish(Upstream upstream, int incarnation) {
      if (upstream.incarnation != incarnation || !upstream.running.contains(this)) {
        return;
      }
      if (crashesUpstream) {
        crashesByRequests++;
        crash(upstream);
      } else if (!answered) {
        answered = true;
        upstream.running.remove(this);
        box.recordSuccess(fingerprint);
        boxes.broadcast(box);
      }
    }

    /** Records the crash after a short detection time and sends the request again. */
    private void onCrash(String incarnationId) {
      boxes.schedule(
          2,
          () -> {
            box.recordCrash(fingerprint, incarnationId);
            boxes.broadcast(box);
          });
      boxes.schedule(3, this::send);
    }
  }

  QuarantineSimulation(Plan plan, long seed) {
    this.plan = plan;
    this.random = new Random(seed);
    this.boxes = new SimulatedBoxes(plan.boxCount(), plan.maxPropagationMillis(), random);
  }

  /** Simulates one minute. */
  QuarantineSimulation run() {
    for (int upstream = 0; upstream < plan.upstreamCount(); upstream++) {
      upstreams.add(new Upstream());
    }
    for (int request = 0; request < REQUESTS_PER_SECOND * DURATION_MILLIS / 1_000; request++) {
      int requestNumber = (int) (DISTINCT_REQUESTS * Math.pow(random.nextDouble(), 2));
      scheduleArrival(new RequestFingerprint(HARMLESS, requestNumber, requestNumber), false);
    }
    for (int requestNumber = 0; requestNumber < plan.crashingRequests(); requestNumber++) {
      for (int copy = 0; copy < 40; copy++) {
        scheduleArrival(new RequestFingerprint(CRASHING, requestNumber, -1 - requestNumber), true);
      }
    }
    for (int crash = 0; crash < plan.crashesPerSecond() * DURATION_MILLIS / 1_000; crash++) {
      boxes.schedule(
          random.nextInt((int) DURATION_MILLIS),
          () -> crash(upstreams.get(random.nextInt(upstreams.size()))));
    }
    boxes.run();
    return this;
  }

  private void scheduleArrival(RequestFingerprint fingerprint, boolean crashesUpstream) {
    Quarantine box = boxes.randomQuarantine();
    boxes.schedule(
        random.nextInt((int) DURATION_MILLIS),
        () -> new SimulatedRequest(fingerprint, crashesUpstream, box).send());
  }

  private void crash(Upstream upstream) {
    if (upstream.down) {
      return;
    }
    String incarnationId = upstreams.indexOf(upstream) + "*" + upstream.incarnation;
    upstream.down = true;
    upstream.incarnation++;
    List<SimulatedRequest> interrupted = List.copyOf(upstream.running);
    upstream.running.clear();
    interrupted.forEach(request -> request.onCrash(incarnationId));
    boxes.schedule(DOWN_MILLIS, () -> upstream.down = false);
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

  /** Returns the number of harmless requests that any box still quarantines. */
  long harmlessQuarantinedAtEnd() {
    return boxes.quarantines().stream()
        .flatMap(box -> box.quarantined().stream())
        .filter(request -> request.high() == HARMLESS)
        .distinct()
        .count();
  }
}
